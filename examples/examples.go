// Package examples holds complete sheets of the two deployments.
package examples

import "embed"

// Sheets holds the files NAME.jsonc.
//
//go:embed *.jsonc
var Sheets embed.FS
