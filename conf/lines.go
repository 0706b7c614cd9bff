package conf

import (
	"fmt"
	"strings"
)

// lineIndex maps the keys of a TOML file to their line numbers.
type lineIndex struct {
	// byPath maps a key with its indexes in arrays of tables, such as
	// Profile[1].Retry.Share, to its line.
	byPath map[string]int
	// byName maps a key without indexes, such as Profile.Retry.Share, to all its
	// lines, in order.
	byName map[string][]int
}

func newLineIndex(text string) *lineIndex {
	x := &lineIndex{byPath: make(map[string]int), byName: make(map[string][]int)}
	arrays := make(map[string]int)
	var path, name string
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name = tableName(line)
			arrays[name]++
			path = indexedPath(name, arrays)
			x.add(path, name, i+1)
		case strings.HasPrefix(line, "["):
			name = tableName(line)
			path = indexedPath(name, arrays)
			x.add(path, name, i+1)
		case !strings.HasPrefix(line, "#"):
			key, _, ok := strings.Cut(line, "=")
			if ok {
				key = strings.TrimSpace(key)
				x.add(joinKey(path, key), joinKey(name, key), i+1)
			}
		}
	}
	return x
}

func (x *lineIndex) add(path, name string, line int) {
	x.byPath[path] = line
	x.byName[name] = append(x.byName[name], line)
}

// nthLine returns the line of the nth key with the name, counted from 0, or 0 if there
// is none.
func (x *lineIndex) nthLine(name string, n int) int {
	if n < len(x.byName[name]) {
		return x.byName[name][n]
	}
	return 0
}

// nearestLine returns the line of the key, or else that of the innermost enclosing
// table in the file, or 0 if there is none.
func (x *lineIndex) nearestLine(path string) int {
	for path != "" {
		if line, ok := x.byPath[path]; ok {
			return line
		}
		end := strings.LastIndexAny(path, ".[")
		path = path[:max(end, 0)]
	}
	return 0
}

func tableName(line string) string {
	header, _, _ := strings.Cut(line, "]")
	return strings.Trim(header, "[ \t")
}

// indexedPath adds the index of the latest table to each array of tables in the name.
func indexedPath(name string, arrays map[string]int) string {
	var path, prefix string
	for part := range strings.SplitSeq(name, ".") {
		prefix = joinKey(prefix, part)
		path = joinKey(path, part)
		if n := arrays[prefix]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
