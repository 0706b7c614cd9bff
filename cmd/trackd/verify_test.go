package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"filberttrack.example/track/verify"
)

// Guards against scripts that send a configuration with errors because the exit code or the output doesn't say so.
func TestCheckConfigCommand(t *testing.T) {
	write := func(name, data string) string {
		path := filepath.Join(t.TempDir(), name)
		assert.NilError(t, os.WriteFile(path, []byte(data), 0o600))
		return path
	}
	const soundConfig = `{"version":2,"limits":{"max_body_bytes":2}}`
	sound, inForce := write("sound.json", soundConfig), write("in-force.json", `{"version":2,"limits":{"max_body_bytes":1}}`)
	const version = "warning: version: 2 isn't above 2, the version in force: entries ignore it\n"
	for _, c := range []struct {
		args      []string
		out, fail string
	}{
		{[]string{sound}, "", ""},
		{[]string{sound, "--json"}, "[]\n", ""},
		{[]string{sound, "--in-force", inForce}, version + "change: limits: MaxBodyBytes: 1 -> 2\n", ""},
		{[]string{"--in-force", inForce, sound}, version + "change: limits: MaxBodyBytes: 1 -> 2\n", ""},
		{[]string{write("empty.json", "")}, "error: file: is empty\n", "errors found: 1"},
		{[]string{write("text.json", "hello")}, "error: line 1, column 1: invalid character 'h' looking for beginning of value\n", "errors found: 1"},
		{[]string{write("old.json", "{}"), "--json"}, `[{"Level":"error","Place":"version","Text":"is missing"}]` + "\n", "errors found: 1"},
		{[]string{sound, "--in-force", write("empty.json", "")}, "error: configuration in force, file: is empty\n", "errors found: 1"},
		{[]string{t.TempDir()}, "", "read configuration"},
		{[]string{sound, "--in-force", "missing.json"}, "", "read configuration in force"},
		{nil, "", "expected one configuration file"},
		{[]string{sound, inForce}, "", "expected one configuration file"},
	} {
		var out bytes.Buffer
		root := rootCommand()
		root.Writer = &out
		// main exits with 1 if Run returns an error, and with 0 otherwise.
		err := root.Run(t.Context(), append([]string{"trackd", "check-config"}, c.args...))
		if c.fail == "" {
			assert.NilError(t, err)
		} else {
			assert.ErrorContains(t, err, c.fail)
		}
		assert.Equal(t, out.String(), c.out)
	}
	var findings []verify.Finding
	var out bytes.Buffer
	root := rootCommand()
	root.Writer = &out
	assert.NilError(t, root.Run(t.Context(), []string{"trackd", "check-config", "--json", "--in-force", inForce, sound}))
	assert.NilError(t, json.Unmarshal(out.Bytes(), &findings))
	assert.Equal(t, findings[1], verify.Finding{Level: verify.Change, Place: "limits", Text: "MaxBodyBytes: 1 -> 2"})
}
