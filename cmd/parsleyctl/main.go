// Command parsleyctl is the operators' tool.
package main

import (
	"os"

	"parsleyscale/internal/operator/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr))
}
