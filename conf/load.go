package conf

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
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

// FaultsError lists all faults of a settings file. It is an error.
type FaultsError []Fault

// sort orders the faults by line, those without a line last. The decoder meets
// the keys of a table in no fixed order.
func (f FaultsError) sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Compare(uint(a.Line-1), uint(b.Line-1))
	})
}

// Error implements error.
func (f FaultsError) Error() string {
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
	// UseObjects is for files with profiles, models, services and client
	// accounts that are to be published. What they refer to is checked then.
	UseObjects
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
	c := &checker{file: file, lines: newLineIndex(text), reported: keysOf(faults), faults: faults}
	c.check(&s, use)
	if len(c.faults) > 0 {
		c.faults.sort()
		return s, track.Fail("check settings", Faulty, c.faults)
	}
	return s, nil
}

// decode decodes the text. A line with a wrong type is reported, blanked and
// decoded around, so that all faults are found at once.
func decode(file, text string) (Settings, FaultsError) {
	var faults FaultsError
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

// typeMessage matches what the decoder says of a value of the wrong type.
var typeMessage = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)$`)

func faultOf(file string, err error) Fault {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return Fault{File: file, Line: parse.Position.Line, Key: parse.LastKey, Problem: parse.Message}
	}
	match := typeMessage.FindStringSubmatch(err.Error())
	if match == nil {
		return Fault{File: file, Problem: err.Error()}
	}
	// The pattern admits digits only.
	line, _ := strconv.Atoi(match[1])
	return Fault{File: file, Line: line, Key: match[2], Problem: match[3]}
}

func unknownKeys(file, text string, meta toml.MetaData) FaultsError {
	var faults FaultsError
	lines := newLineIndex(text)
	seen := make(map[string]int)
	for _, key := range meta.Undecoded() {
		name := key.String()
		faults = append(faults, Fault{File: file, Line: lines.nth(name, seen[name]), Key: name, Problem: "unknown key"})
		seen[name]++
	}
	return faults
}

func keysOf(faults FaultsError) map[string]bool {
	keys := make(map[string]bool)
	for _, f := range faults {
		keys[f.Key] = true
	}
	return keys
}
