// Command parsleyctl is the command-line tool for operators of a deployment.
package main

import (
	"os"

	"parsleyscale/internal/operator/commander"
	"parsleyscale/platform"
)

func main() {
	usersPlatform := platform.New("", "")
	os.Exit(commander.Main(os.Args[1:], os.Stdout, os.Stderr, commander.UsersPlatform{
		Open:          func(address string) commander.TableReader { return platform.NewStore(address) },
		RegistryTable: usersPlatform.RegistryTable,
		ParseEntry:    usersPlatform.ParseEntry,
	}))
}
