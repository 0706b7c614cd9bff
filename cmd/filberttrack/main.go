// Command filberttrack runs the daemons of the load balancer and the tools of its
// operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"filberttrack.example/track/conf"
)

// Exit codes of the program.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	err := root().Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "filberttrack:", err)
		os.Exit(exitCode(err))
	}
}

// root returns the command line.
func root() *cli.Command {
	return &cli.Command{
		Name:                  "filberttrack",
		Usage:                 "load balancer for expert-parallel model groups",
		Version:               release(),
		EnableShellCompletion: true,
		Suggest:               true,
		// main prints the error and chooses the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: append(objectCommands(),
			devCommand(),
			entryCommand(),
			agentCommand(),
			standinCommand(),
			checkCommand(),
			statusCommand(),
			configCommand(),
			quarantineCommand(),
			expertsCommand(),
		),
	}
}

// exitCode returns the exit code for a failure.
func exitCode(err error) int {
	var coder cli.ExitCoder
	switch {
	case errors.As(err, &coder):
		return coder.ExitCode()
	case isSettingsError(err):
		return exitSettings
	}
	return exitFailure
}

func isSettingsError(err error) bool {
	var settings *conf.Error
	return errors.As(err, &settings)
}

// release returns the version of the program.
func release() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "development"
	}
	return info.Main.Version
}
