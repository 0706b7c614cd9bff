// Command filberttrack runs the daemons of the load balancer and provides the commands for its
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

// Exit codes: failure of any kind, and invalid settings or arguments.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	err := rootCommand().Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "filberttrack:", err)
		os.Exit(exitCode(err))
	}
}

// rootCommand returns the command line of the program.
func rootCommand() *cli.Command {
	return &cli.Command{
		Name:                  "filberttrack",
		Usage:                 "load balancer for expert-parallel model groups",
		Version:               version(),
		EnableShellCompletion: true,
		Suggest:               true,
		// Keeps the library from printing the error and exiting; main does both.
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

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var exitErr cli.ExitCoder
	switch {
	case errors.As(err, &exitErr):
		return exitErr.ExitCode()
	case isSettingsError(err):
		return exitSettings
	}
	return exitFailure
}

func isSettingsError(err error) bool {
	var settingsErr *conf.Error
	return errors.As(err, &settingsErr)
}

// version returns the module version of the binary, or "development" if it has none.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "development"
	}
	return info.Main.Version
}
