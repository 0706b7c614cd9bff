package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	examples "filberttrack.example/track/examples"
)

const adminTokenText = "a-long-admin-token"

// runCommand runs the program with the arguments in this process. It returns the output, with the
// text of the error that main would print, and the exit code.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	command := rootCommand()
	command.Writer = &out
	err := command.Run(t.Context(), append([]string{"filberttrack"}, args...))
	if err == nil {
		return out.String(), 0
	}
	return out.String() + err.Error(), exitCode(err)
}

// writeFile writes a file to a new temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// Operators publish, list, compare, roll back and delete objects, and no output contains their
// token.
func TestOperatorsPublishChanges(t *testing.T) {
	token := writeFile(t, "token", adminTokenText+"\n")
	settings := writeFile(t, "dev.toml", examples.Aserrin+"\n[Operators]\nTokenFile = \""+token+"\"\n")
	dev := startProcess(t, "dev", "--settings", settings, "--listen", "127.0.0.1:0", "--admin", "127.0.0.1:0")
	t.Setenv("FILBERTTRACK_ADMIN", dev.readyField("admin"))
	t.Setenv("FILBERTTRACK_OPERATOR", "maria")
	t.Setenv("FILBERTTRACK_TOKEN_FILE", token)
	wrongToken := writeFile(t, "wrong", "another-admin-token")
	lunch := writeFile(t, "lunch.toml", "[[Profile]]\nName = \"lunch\"\nTimeout = \"20s\"\n")
	slower := writeFile(t, "slower.toml", "[[Profile]]\nName = \"lunch\"\nTimeout = \"40s\"\n")
	broken := writeFile(t, "broken.toml", "[[Profile]]\nName = \"lunch\"\nTimeout = \"40x\"\n")

	for _, step := range []struct {
		args []string
		code int
		want []string
	}{
		{[]string{"profile", "publish", "--token-file", wrongToken, lunch}, 1, []string{"admin token is missing or wrong"}},
		{[]string{"profile", "publish", broken}, exitSettings, []string{"broken.toml:3", "Timeout"}},
		{[]string{"profile", "publish", "--dry-run", lunch}, 0, []string{"accepted (dry run"}},
		{[]string{"profile", "publish", "--wait", lunch}, 0, []string{"accepted", "16 of 16 instances"}},
		{[]string{"profile", "publish", lunch}, 0, []string{"nothing to change"}},
		{[]string{"profile", "publish", "--replaces", "1", slower}, exitRefused, []string{"refused: Conflict", "maria changed it at version 2"}},
		{[]string{"profile", "publish", slower}, 0, []string{"accepted"}},
		{[]string{"profile", "list"}, 0, []string{"NAME", "lunch", "40s", "yard-notes"}},
		{[]string{"profile", "show", "lunch"}, 0, []string{`"Timeout": 40000000000`, `"Operator": "maria"`}},
		{[]string{"config", "diff", "--from", "2"}, 0, []string{`Profile "lunch"`, "20000000000", "40000000000"}},
		{[]string{"config", "rollback", "--to", "1"}, 0, []string{"accepted"}},
		{[]string{"profile", "show", "lunch"}, 1, []string{"does not exist"}},
		{[]string{"profile", "delete", "pickups"}, exitRefused, []string{"NotValid", `service "pickup-desk" uses profile "pickups"`}},
		{[]string{"config", "history"}, 0, []string{"Conflict", "profile/lunch", "settings"}},
		{[]string{"config", "status"}, 0, []string{"Version", "read to offset"}},
		{[]string{"account", "list", "--json"}, 0, []string{`"rivera-drivers"`}},
	} {
		out, code := runCommand(t, step.args...)
		assert.Equal(t, code, step.code, "%v: %s", step.args, out)
		for _, want := range step.want {
			assert.Assert(t, cmp.Contains(out, want), "%v", step.args)
		}
		assert.Assert(t, !bytes.Contains([]byte(out), []byte(adminTokenText)))
	}
	dev.stop(t)
}
