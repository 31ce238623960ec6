// Command flamingospar runs entry processes and provides the operators' command
// line.
package main

import (
	"os"

	"flamingospar.org/flamingospar/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
