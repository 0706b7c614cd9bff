package conf

import (
	"fmt"
	"strings"
)

// lineIndex knows on which lines the keys of a file stand.
type lineIndex struct {
	// byPath maps a key with the places in its arrays of tables, such as
	// Profile[1].Retry.Share, to its line.
	byPath map[string]int
	// byName maps a key without places to all its lines, in order.
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
			name = headerName(line)
			arrays[name]++
			path = placed(name, arrays)
			x.add(path, name, i+1)
		case strings.HasPrefix(line, "["):
			name = headerName(line)
			path = placed(name, arrays)
			x.add(path, name, i+1)
		case !strings.HasPrefix(line, "#"):
			key, _, ok := strings.Cut(line, "=")
			if ok {
				key = strings.TrimSpace(key)
				x.add(join(path, key), join(name, key), i+1)
			}
		}
	}
	return x
}

func (x *lineIndex) add(path, name string, line int) {
	x.byPath[path] = line
	x.byName[name] = append(x.byName[name], line)
}

// nth returns the line of the nth key with the name, or 0.
func (x *lineIndex) nth(name string, n int) int {
	if n < len(x.byName[name]) {
		return x.byName[name][n]
	}
	return 0
}

// nearest returns the line of the key, or of the closest table around it that
// the file has, or 0.
func (x *lineIndex) nearest(path string) int {
	for path != "" {
		if line, ok := x.byPath[path]; ok {
			return line
		}
		end := strings.LastIndexAny(path, ".[")
		path = path[:max(end, 0)]
	}
	return 0
}

func headerName(line string) string {
	header, _, _ := strings.Cut(line, "]")
	return strings.Trim(header, "[ \t")
}

// placed adds to each array of tables in the name the place of its latest table.
func placed(name string, arrays map[string]int) string {
	var path, sofar string
	for part := range strings.SplitSeq(name, ".") {
		sofar = join(sofar, part)
		path = join(path, part)
		if n := arrays[sofar]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
