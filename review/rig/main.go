// Command rig runs the programs of a small deployment beside stand-ins, disturbs them as one case of the
// review says, and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// couldn't run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime is the longest time that a run may take.
const maxRunTime = 115 * time.Second

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name.
var cases = map[string]func(context.Context, bool, *recorder) error{
	"drain":  runDrain,
	"stop":   runStop,
	"memory": runMemory,
	"path":   runPath,
	"switch": runSwitch,
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record of the run")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	err := runCase(ctx, *name, *path)
	switch {
	case err == nil:
		fmt.Println("the rule held")
	case errors.Is(err, errBroken):
		fmt.Println(err)
		os.Exit(1)
	default:
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		os.Exit(2)
	}
}

// runCase runs a case and writes its record.
func runCase(ctx context.Context, name, path string) error {
	run := cases[name]
	if run == nil {
		return fmt.Errorf("there is no case %q", name)
	}
	record, err := newRecorder(path)
	if err != nil {
		return err
	}
	err = run(ctx, os.Getenv("TROUBLE") != "0", record)
	record.add(time.Now(), "result: %v", err)
	return errors.Join(err, record.close())
}
