// Command rhubarbsaddle contains the daemons and the operators' command line.
package main

import (
	"context"
	"os"

	"github.com/rhubarbsaddle/rhubarbsaddle/cli"
)

func main() { os.Exit(cli.Run(context.Background(), os.Args, os.Stdout, os.Stderr)) }
