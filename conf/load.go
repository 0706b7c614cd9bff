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
	// Unreadable means that the settings file could not be read.
	Unreadable Kind = iota
	// Invalid means that the settings are invalid. The cause is a ValidationError.
	Invalid
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

// Issue is one problem found in a settings file.
type Issue struct {
	File string
	// Line is the line number, from 1, or 0 if unknown.
	Line int
	// Key is the full key, such as Profile[1].Retry.Share, or empty.
	Key string
	// Message says what is wrong and what is allowed.
	Message string
}

// String returns the issue on one line, as FILE:LINE: KEY: MESSAGE.
func (i Issue) String() string {
	var b strings.Builder
	b.WriteString(i.File)
	if i.Line > 0 {
		fmt.Fprintf(&b, ":%d", i.Line)
	}
	b.WriteString(": ")
	if i.Key != "" {
		b.WriteString(i.Key + ": ")
	}
	b.WriteString(i.Message)
	return b.String()
}

// ValidationError is an error that lists all issues found in a settings file.
type ValidationError []Issue

// sort orders the issues by line, those without a line last. This makes the order
// deterministic: the decoder visits the keys of a table in no fixed order.
func (e ValidationError) sort() {
	slices.SortStableFunc(e, func(a, b Issue) int {
		return cmp.Compare(uint(a.Line-1), uint(b.Line-1))
	})
}

// Error implements error. It returns one issue per line.
func (e ValidationError) Error() string {
	lines := make([]string, 0, len(e))
	for _, issue := range e {
		lines = append(lines, issue.String())
	}
	return strings.Join(lines, "\n")
}

// Use says what a settings file is loaded for. It decides which sections are checked.
type Use int

// The uses of a settings file.
const (
	// UseAny checks only the sections that do not belong to one kind of process.
	UseAny Use = iota
	// UseEntry is for an entry process.
	UseEntry
	// UseAgent is for an agent process.
	UseAgent
	// UseStandin is for the process that runs the stand-ins.
	UseStandin
	// UseDev is for a development environment in a single process.
	UseDev
	// UseSharedConfig is for files with profiles, models, services and client accounts
	// to publish. References between them are checked when they are published.
	UseSharedConfig
)

// Load reads a settings file, fills in defaults and validates it. It fails with
// Unreadable or Invalid.
func Load(file string, use Use) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, track.Fail("read settings", Unreadable, err)
	}
	return Parse(file, string(text), use)
}

// Parse decodes the text of a settings file, fills in defaults and validates it. It
// fails with Invalid. The file name is used only in reported issues.
func Parse(file, text string, use Use) (Settings, error) {
	s, issues := decode(file, text)
	applyDefaults(&s)
	c := &checker{file: file, lines: newLineIndex(text), reported: issueKeys(issues), issues: issues}
	c.check(&s, use)
	if len(c.issues) > 0 {
		c.issues.sort()
		return s, track.Fail("check settings", Invalid, c.issues)
	}
	return s, nil
}

// decode decodes the text. A line that fails to decode is reported, blanked and the
// text decoded again, so that all issues are found at once.
func decode(file, text string) (Settings, ValidationError) {
	var issues ValidationError
	lines := strings.Split(text, "\n")
	for {
		var s Settings
		meta, err := toml.Decode(strings.Join(lines, "\n"), &s)
		if err == nil {
			return s, append(issues, unknownKeys(file, text, meta)...)
		}
		issue := decodeIssue(file, err)
		issues = append(issues, issue)
		if issue.Line < 1 || issue.Line > len(lines) || lines[issue.Line-1] == "" {
			return s, issues
		}
		lines[issue.Line-1] = ""
	}
}

// decodeErrorPattern matches the decoder's error for a value of the wrong type.
var decodeErrorPattern = regexp.MustCompile(`^toml: line (\d+) \(last key "([^"]*)"\): (.*)$`)

func decodeIssue(file string, err error) Issue {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return Issue{File: file, Line: parse.Position.Line, Key: parse.LastKey, Message: parse.Message}
	}
	match := decodeErrorPattern.FindStringSubmatch(err.Error())
	if match == nil {
		return Issue{File: file, Message: err.Error()}
	}
	// The error is ignored because the pattern matches digits only.
	line, _ := strconv.Atoi(match[1])
	return Issue{File: file, Line: line, Key: match[2], Message: match[3]}
}

func unknownKeys(file, text string, meta toml.MetaData) ValidationError {
	var issues ValidationError
	lines := newLineIndex(text)
	seen := make(map[string]int)
	for _, key := range meta.Undecoded() {
		name := key.String()
		issues = append(issues, Issue{File: file, Line: lines.nthLine(name, seen[name]), Key: name, Message: "unknown key"})
		seen[name]++
	}
	return issues
}

func issueKeys(issues ValidationError) map[string]bool {
	keys := make(map[string]bool)
	for _, issue := range issues {
		keys[issue.Key] = true
	}
	return keys
}
