package change_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"filberttrack.example/track"
	"filberttrack.example/track/change"
)

var changeTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func profileEdit(name string, timeout time.Duration, replaces uint64) change.Edit {
	raw, err := change.EncodeObject(track.Profile{Name: name, Timeout: timeout})
	if err != nil {
		panic(err)
	}
	return change.Edit{Key: change.Key{Kind: change.ProfileKind, Name: name}, Replaces: replaces, Value: raw}
}

func accountEdit(name, token string, replaces uint64) change.Edit {
	raw, _ := change.EncodeObject(track.ClientAccount{Name: name, TokenSHA256: change.HexSHA256([]byte(token))})
	return change.Edit{Key: change.Key{Kind: change.AccountKind, Name: name}, Replaces: replaces, Value: raw}
}

func modelEdit(name, profile string) change.Edit {
	raw, _ := change.EncodeObject(track.Model{Name: name, Profile: profile})
	return change.Edit{Key: change.Key{Kind: change.ModelKind, Name: name}, Value: raw}
}

func newChange(operator, id string, edits ...change.Edit) change.Change {
	return change.Change{ID: id, Operator: operator, Time: changeTime, Edits: edits}
}

func deletion(e change.Edit, replaces uint64) change.Edit {
	e.Value, e.Replaces = nil, replaces
	return e
}

func marshal(t *testing.T, s *change.State) []byte {
	t.Helper()
	data, err := s.Marshal()
	assert.NilError(t, err)
	return data
}

func TestApplyVerdict(t *testing.T) {
	lunch := profileEdit("lunch", time.Second, 0)
	tests := []struct {
		name   string
		edits  []change.Edit
		reason change.Reason
		detail string
	}{
		{"create", []change.Edit{profileEdit("night", time.Second, 0)}, "", ""},
		{"replace the current version", []change.Edit{profileEdit("lunch", time.Minute, 1)}, "", ""},
		{"create an existing object", []change.Edit{profileEdit("lunch", time.Minute, 0)}, change.Conflict, "maria changed it at version 1 by change c1"},
		{"replace a missing object", []change.Edit{profileEdit("night", time.Second, 7)}, change.Conflict, "does not exist"},
		{"atomic", []change.Edit{profileEdit("night", time.Second, 0), profileEdit("lunch", 0, 1)}, change.NotValid, "Timeout"},
		{"two edits of one object", []change.Edit{profileEdit("lunch", time.Second, 1), profileEdit("lunch", time.Minute, 1)}, change.NotValid, "edited twice"},
		{"model with a missing profile", []change.Edit{modelEdit("llm", "dinner")}, change.NotValid, `profile "dinner", which does not exist`},
		{"deletion of a profile in use", []change.Edit{deletion(lunch, 1), modelEdit("llm", "lunch")}, change.NotValid, "does not exist"},
		{"two accounts with the same token", []change.Edit{accountEdit("mill", "s3cret", 0), accountEdit("farm", "s3cret", 0)}, change.NotValid, "same token"},
		{"bad name", []change.Edit{profileEdit("a b", time.Second, 0)}, change.NotValid, "letters, digits"},
		{"unknown kind", []change.Edit{{Key: change.Key{Kind: "Planet", Name: "x"}}}, change.NotValid, "unknown kind"},
		{"unknown field", []change.Edit{{Key: change.Key{Kind: change.ProfileKind, Name: "x"}, Value: json.RawMessage(`{"Name":"x","Tiemout":1}`)}}, change.NotValid, "Tiemout"},
		{"name differs from the key", []change.Edit{{Key: change.Key{Kind: change.ProfileKind, Name: "x"}, Value: json.RawMessage(`{"Name":"y","Timeout":1000000}`)}}, change.NotValid, `named "y"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := change.NewState()
			assert.Assert(t, s.Apply(newChange("maria", "c1", lunch)).Verdict.Accepted)
			d := s.Apply(newChange("jose", "c2", test.edits...))
			assert.Equal(t, d.Verdict.Reason, test.reason)
			assert.Equal(t, d.Verdict.Accepted, test.reason == "")
			assert.Assert(t, strings.Contains(d.Verdict.Detail, test.detail), d.Verdict.Detail)
			assert.Assert(t, !strings.Contains(d.Verdict.Detail, "s3cret"))
			if !d.Verdict.Accepted {
				assert.Equal(t, s.Version(), uint64(1))
				assert.Equal(t, len(s.Config().Profiles), 1)
			}
		})
	}
}

func TestConflictNamesWinner(t *testing.T) {
	s := change.NewState()
	s.Apply(newChange("maria", "c1", profileEdit("lunch", time.Second, 0)))
	s.Apply(newChange("jose", "c2", profileEdit("lunch", 2*time.Second, 1)))
	refused := s.Apply(newChange("ana", "c3", profileEdit("lunch", 3*time.Second, 1)))
	assert.DeepEqual(t, refused.Verdict.Winner, &change.Revision{Version: 2, ChangeID: "c2", Operator: "jose", Time: changeTime})
	s.Apply(newChange("jose", "c4", deletion(profileEdit("lunch", 0, 0), 2)))
	refused = s.Apply(newChange("ana", "c5", profileEdit("lunch", 3*time.Second, 2)))
	assert.Equal(t, refused.Verdict.Winner.ChangeID, "c4")
	assert.Assert(t, strings.Contains(refused.Verdict.Detail, "jose deleted it"), refused.Verdict.Detail)
}

func TestDuplicateCountsOnce(t *testing.T) {
	s := change.NewState()
	create := newChange("maria", "c1", profileEdit("lunch", time.Second, 0))
	first := s.Apply(create)
	refused := newChange("jose", "c2", profileEdit("lunch", time.Minute, 0))
	s.Apply(refused)
	s.Apply(newChange("maria", "c3", deletion(profileEdit("lunch", 0, 0), 1)))
	before := marshal(t, s)
	assert.DeepEqual(t, s.Apply(create), first)
	assert.Equal(t, s.Apply(refused).Verdict.Reason, change.Conflict)
	assert.DeepEqual(t, marshal(t, s), before)
}

// A duplicate that arrives after its ID has left the history must not be applied
// again.
func TestForgottenDuplicateIsStale(t *testing.T) {
	s := change.NewState()
	create := newChange("maria", "c1", profileEdit("lunch", time.Second, 0))
	s.Apply(create)
	s.Apply(newChange("maria", "c2", deletion(profileEdit("lunch", 0, 0), 1)))
	for i := range change.MaxHistoryEdits {
		c := newChange("jose", fmt.Sprint("n", i), profileEdit("night", time.Second, 0))
		c.BaseSeq = s.Seq()
		s.Apply(c)
	}
	// The checksum that is updated with each change equals that of the decoded
	// state.
	decoded, err := change.Unmarshal(marshal(t, s))
	assert.NilError(t, err)
	assert.Equal(t, decoded.Checksum(), s.Checksum())
	assert.Assert(t, s.Clone().Checksum() == s.Checksum() && change.NewState().Checksum() != s.Checksum())
	_, found := s.FindDecision("c1")
	assert.Assert(t, !found)
	d := s.Apply(create)
	assert.Equal(t, d.Verdict.Reason, change.Stale)
	_, exists := s.Item(change.Key{Kind: change.ProfileKind, Name: "lunch"})
	assert.Assert(t, !exists)
	_, err = s.RollbackEdits(0)
	assert.Assert(t, track.IsKind(err, change.Forgotten), "%v", err)
}

func TestRollbackIsNewChange(t *testing.T) {
	s := change.NewState()
	s.Apply(newChange("maria", "c1", profileEdit("lunch", time.Second, 0), profileEdit("night", time.Second, 0)))
	s.Apply(newChange("maria", "c2", profileEdit("lunch", time.Minute, 1), deletion(profileEdit("night", 0, 0), 1), profileEdit("dawn", time.Second, 0)))
	differences, err := s.Diff(1, 2)
	assert.NilError(t, err)
	assert.Equal(t, len(differences), 3)
	edits, err := s.RollbackEdits(1)
	assert.NilError(t, err)
	d := s.Apply(newChange("maria", "c3", edits...))
	assert.Assert(t, d.Verdict.Accepted, d.Verdict.Detail)
	assert.Equal(t, s.Version(), uint64(3))
	differences, err = s.Diff(1, 3)
	assert.NilError(t, err)
	assert.Equal(t, len(differences), 0)
}

func TestStateEncodingRoundTrip(t *testing.T) {
	s := change.NewState()
	s.Apply(newChange("maria & <co>", "c1", profileEdit("lunch", time.Second, 0), accountEdit("mill", "t1", 0), accountEdit("farm", "t2", 0)))
	s.Apply(newChange("jose", "c2", profileEdit("lunch", time.Second, 0)))
	data := marshal(t, s)
	decoded, err := change.Unmarshal(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Config(), s.Config())
	next := newChange("ana", "c3", profileEdit("night", time.Second, 0))
	assert.DeepEqual(t, decoded.Apply(next), s.Apply(next))
	assert.DeepEqual(t, marshal(t, decoded), marshal(t, s))
	assert.Equal(t, decoded.Checksum(), s.Checksum())

	for name, broken := range map[string][]byte{
		"cut":        data[:len(data)-1],
		"order":      bytes.Replace(bytes.Replace(data, []byte(`"Name":"farm"`), []byte(`"Name":"zarm"`), 1), []byte(`"Name":"farm"`), []byte(`"Name":"zarm"`), 1),
		"version":    bytes.Replace(data, []byte(`{"Version":1`), []byte(`{"Version":9`), 1),
		"seq":        bytes.Replace(data, []byte(`"Seq":2`), []byte(`"Seq":3`), 1),
		"whitespace": append([]byte(" "), data...),
		"value":      bytes.Replace(data, []byte(`"Timeout":1000000000`), []byte(`"Timeout":-1`), 1),
	} {
		_, err := change.Unmarshal(broken)
		assert.Assert(t, track.IsKind(err, change.Corrupt), "%s: %v", name, err)
	}
}

// Every single bit flip and every truncation of a record must be detected.
func TestDecodeRejectsDamagedRecord(t *testing.T) {
	data, err := change.EncodeChange(newChange("maria", "c1", profileEdit("lunch", time.Second, 0)))
	assert.NilError(t, err)
	want, err := change.Decode(data)
	assert.NilError(t, err)
	for i := range data {
		_, err := change.Decode(data[:i])
		assert.Assert(t, track.IsKind(err, change.Corrupt), "truncated at %d", i)
		for bit := range 8 {
			broken := bytes.Clone(data)
			broken[i] ^= 1 << bit
			got, err := change.Decode(broken)
			if err == nil {
				// encoding/json matches field names regardless of case.
				assert.DeepEqual(t, got, want)
			}
		}
	}
}

func FuzzDecode(f *testing.F) {
	good, _ := change.EncodeChange(newChange("maria", "c1", profileEdit("lunch", time.Second, 0)))
	f.Add(good, false)
	f.Add([]byte(`{"ID":"c","Operator":"o","Time":"2026-03-01T12:00:00+02:00","Seen":0,"Edits":[{"Kind":"Profile","Name":"x","Replaces":0,"Value":{"Name":"x","Timeout":1e6}}]}`), true)
	f.Add([]byte(`{"ID":"c","Time":"0000-01-01T00:00:00+23:00","Edits":[{"Kind":"Profile","Name":"<x>","Value":null}]}`), true)
	f.Add([]byte("{\"ID\":\"c\",\"Operator\":\"\\ud800\xff\",\"Edits\":[{\"Kind\":\"\xff\",\"Name\":\"x\",\"Value\":{ \"a\" :\"\xff<\"}}]}"), true)
	f.Fuzz(func(t *testing.T, data []byte, wrap bool) {
		if wrap && json.Valid(data) {
			data, _ = json.Marshal(map[string]any{"Format": change.Format, "Kind": "Change", "Sum": compactChecksum(data), "Body": json.RawMessage(data)})
		}
		record, err := change.Decode(data)
		if err != nil || record.Change == nil {
			return
		}
		s := change.NewState()
		s.Apply(*record.Change)
		encoded, err := s.Marshal()
		assert.NilError(t, err)
		decoded, err := change.Unmarshal(encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, marshal(t, decoded), encoded)
		reencoded, err := change.EncodeChange(*record.Change)
		assert.NilError(t, err)
		redecoded, err := change.Decode(reencoded)
		assert.NilError(t, err)
		replayed := change.NewState()
		replayed.Apply(*redecoded.Change)
		assert.DeepEqual(t, marshal(t, replayed), encoded)
	})
}

func compactChecksum(data []byte) string {
	compacted, _ := json.Marshal(json.RawMessage(data))
	return change.HexSHA256(compacted)
}

func ExampleState_Apply() {
	state := change.NewState()
	lunch := change.Key{Kind: change.ProfileKind, Name: "lunch"}
	value, _ := change.EncodeObject(track.Profile{Name: "lunch", Timeout: 20 * time.Second})
	first := state.Apply(change.Change{ID: "1", Operator: "maria", Edits: []change.Edit{{Key: lunch, Value: value}}})
	second := state.Apply(change.Change{ID: "2", Operator: "jose", Edits: []change.Edit{{Key: lunch, Value: value}}})
	fmt.Println(first.Verdict.Accepted, first.Verdict.Version)
	fmt.Println(second.Verdict.Accepted, second.Verdict.Reason)
	fmt.Println(second.Verdict.Detail)
	// Output:
	// true 1
	// false Conflict
	// Profile "lunch": the change replaces version 0, but maria changed it at version 1 by change 1
}
