package conf

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/BurntSushi/toml"

	"filberttrack.example/track"
)

// Kind classifies the failures of this package.
type Kind int

// The kinds of failure.
const (
	// Unreadable means that the file could not be read.
	Unreadable Kind = iota
	// Faulty means that the settings have faults; the cause lists them all.
	Faulty
)

// String returns the kind in lower case.
func (k Kind) String() string {
	if k == Unreadable {
		return "unreadable"
	}
	return "faulty"
}

// Error is the error of this package.
type Error = track.OpError[Kind]

// Fault is one fault of a settings file.
type Fault struct {
	File string
	// Line is 0 where it is not known.
	Line int
	Key  string
	// Problem says what is wrong and what is allowed.
	Problem string
}

// String returns the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	b.WriteString(": ")
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Problem)
	return b.String()
}

// Faults lists all faults of a settings file. It is an error.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f))
	for _, fault := range f {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// Use names the sections that a process needs.
type Use int

// The uses of a settings file.
const (
	UseAny Use = iota
	UseEntry
	UseAgent
	UseStandin
	UseDev
)

// Load reads, completes and checks a settings file.
func Load(file string, use Use) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, track.Fail("read settings", Unreadable, err)
	}
	return Parse(file, string(text), use)
}

// Parse completes and checks the text of a settings file. The file's name is
// used in faults only.
func Parse(file, text string, use Use) (Settings, error) {
	s, faults := decode(file, text)
	applyDefaults(&s)
	c := &checker{file: file, lines: keyLines(text), reported: keysOf(faults), faults: faults}
	c.check(&s, use)
	if len(c.faults) > 0 {
		return s, track.Fail("check settings", Faulty, c.faults)
	}
	return s, nil
}

// decode decodes the text. A line with a wrong type is reported, blanked and
// decoded around, so that all faults are found at once.
func decode(file, text string) (Settings, Faults) {
	var faults Faults
	lines := strings.Split(text, "\n")
	for {
		var s Settings
		meta, err := toml.Decode(strings.Join(lines, "\n"), &s)
		if err == nil {
			return s, append(faults, unknownKeys(file, text, meta)...)
		}
		fault := faultOf(file, err)
		faults = append(faults, fault)
		if fault.Line < 1 || fault.Line > len(lines) || lines[fault.Line-1] == "" {
			return s, faults
		}
		lines[fault.Line-1] = ""
	}
}

func faultOf(file string, err error) Fault {
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		return Fault{File: file, Problem: err.Error()}
	}
	problem := parse.Message
	if problem == "" {
		problem = strings.TrimPrefix(parse.Error(), "toml: ")
	}
	return Fault{File: file, Line: parse.Position.Line, Key: parse.LastKey, Problem: problem}
}

func unknownKeys(file, text string, meta toml.MetaData) Faults {
	var faults Faults
	lines := keyLines(text)
	seen := make(map[string]int)
	for _, key := range meta.Undecoded() {
		name := key.String()
		places := lines[name]
		fault := Fault{File: file, Key: name, Problem: "unknown key"}
		if n := seen[name]; n < len(places) {
			fault.Line = places[n]
		}
		seen[name]++
		faults = append(faults, fault)
	}
	return faults
}

func keysOf(faults Faults) map[string]bool {
	keys := make(map[string]bool)
	for _, f := range faults {
		keys[f.Key] = true
	}
	return keys
}

// keyLines returns the lines on which each dotted key stands, in order.
func keyLines(text string) map[string][]int {
	places := make(map[string][]int)
	table := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			table = strings.Trim(strings.SplitN(line, "#", 2)[0], "[] \t")
			places[table] = append(places[table], i+1)
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") {
			continue
		}
		key := strings.TrimSpace(name)
		if table != "" {
			key = table + "." + key
		}
		places[key] = append(places[key], i+1)
	}
	return places
}
