package conf_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/golden"

	"filberttrack.example/track/conf"
	sample "filberttrack.example/track/examples"
)

func TestParseAcceptsExamples(t *testing.T) {
	for name, text := range map[string]string{"aserrin": sample.Aserrin, "detak": sample.Detak} {
		s, err := conf.Parse(name, text, conf.UseDev)
		assert.NilError(t, err)
		assert.Assert(t, cmp.Len(s.Zone, 3))
	}
}

func TestParseReportsAllIssues(t *testing.T) {
	file := filepath.Join("testdata", "faulty.toml")
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	_, err = conf.Parse("faulty.toml", string(text), conf.UseEntry)
	var issues conf.ValidationError
	assert.Assert(t, errors.As(err, &issues), "%v", err)
	golden.Assert(t, issues.Error()+"\n", "faulty.golden")
}

func TestParseReportsLineOfSyntaxError(t *testing.T) {
	_, err := conf.Parse("broken.toml", "Region = \"norte\"\nEntry = [\n", conf.UseAny)
	assert.ErrorContains(t, err, "broken.toml:2")
}

func FuzzParse(f *testing.F) {
	f.Add(sample.Aserrin)
	f.Add("[[Zone]]\n[[Zone.Replicas]]\nCount = -1")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := conf.Parse("fuzz.toml", text, conf.UseDev)
		if err != nil && strings.TrimSpace(err.Error()) == "" {
			t.Fatal("empty error")
		}
	})
}
