package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the lines of record.txt, with the time since the start of the run. It is safe for
// concurrent use.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &recorder{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// add writes a line for an event that happened at a time.
func (r *recorder) add(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f "+format+"\n", append([]any{at.Sub(r.start).Seconds()}, args...)...)
}

// say writes a line for what happens now, and prints it, too.
func (r *recorder) say(format string, args ...any) {
	r.add(time.Now(), format, args...)
	fmt.Printf(format+"\n", args...)
}

// close writes the remaining lines to the file.
func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return fmt.Errorf("write the record: %w", err)
	}
	return r.file.Close()
}
