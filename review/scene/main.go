// Command scene plays one situation against the real daemons. It starts stand-ins of the platform's log, of replicas
// and of clients, and trackd itself with the commands of the deploy file, all on loopback addresses. It exits with 1 if
// the rule of the situation was broken, with 0 if it held, and with 2 if the situation could not be played.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// maxTime is the longest time that a situation may take.
const maxTime = 115 * time.Second

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotPlayed
)

// scenes holds the situations by name.
var scenes = map[string]func(ctx context.Context, w *world, trouble bool) (broken bool, err error){
	"keys":   playKeys,
	"limits": playLimits,
	"move":   playMove,
}

func main() {
	os.Exit(run())
}

// run plays the situation that the command line names, and returns the exit code.
func run() int {
	if len(os.Args) != 4 || scenes[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: scene NAME TRACKD RECORD")
		return exitNotPlayed
	}
	broken, err := play(scenes[os.Args[1]], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "scene:", err)
		return exitNotPlayed
	case broken:
		fmt.Println("broken")
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}

func play(
	scene func(context.Context, *world, bool) (bool, error), binary, recordPath string, trouble bool,
) (broken bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	binary, err = filepath.Abs(binary)
	if err != nil {
		return false, fmt.Errorf("find trackd: %w", err)
	}
	w, err := newWorld(binary, recordPath)
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, w.close()) }()
	broken, err = scene(ctx, w, trouble)
	if err == nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	w.record.printf("trouble=%t broken=%t err=%v", trouble, broken, err)
	return broken, err
}
