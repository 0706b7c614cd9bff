package verify

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"filberttrack.example/track"
)

// Compare returns what a configuration changes about the one in force, and a warning if its version
// isn't above that one's, because entries ignore it then.
func Compare(inForce, c track.RouteConfig) []Finding {
	var findings []Finding
	if c.Version <= inForce.Version {
		findings = append(findings, place("version").warn(
			"%d isn't above %d, the version in force: entries ignore it", c.Version, inForce.Version))
	}
	return slices.Concat(
		findings,
		comparison[track.Route]{RouteKind, routeName, formatEntry[track.Route], diffEntries[track.Route]}.run(inForce.Routes, c.Routes),
		comparison[track.RouteService]{ServiceKind, serviceName, formatEntry[track.RouteService], diffEntries[track.RouteService]}.run(inForce.Services, c.Services),
		comparison[track.RouteAccount]{AccountKind, accountName, formatAccount, diffAccounts}.run(inForce.Accounts, c.Accounts),
		changes("limits", diffEntries(inForce.Limits, c.Limits)),
	)
}

// comparison compares the entries of one kind. Entries with the same place correspond to each other.
type comparison[T any] struct {
	kind   string
	name   func(T) string
	format func(T) string
	diff   func(before, after T) []string
}

// run returns the changes in the order of the new entries, and then the entries that were removed.
func (c comparison[T]) run(before, after []T) []Finding {
	beforePlaces, afterPlaces := Places(c.kind, namesOf(before, c.name)), Places(c.kind, namesOf(after, c.name))
	old := make(map[string]T, len(before))
	for i, p := range beforePlaces {
		old[p] = before[i]
	}
	var findings []Finding
	kept := make(map[string]bool, len(after))
	for i, p := range afterPlaces {
		kept[p] = true
		if b, ok := old[p]; ok {
			findings = append(findings, changes(p, c.diff(b, after[i]))...)
		} else {
			findings = append(findings, changes(p, []string{"added: " + c.format(after[i])})...)
		}
	}
	for i, p := range beforePlaces {
		if !kept[p] {
			findings = append(findings, changes(p, []string{"removed: " + c.format(before[i])})...)
		}
	}
	return findings
}

func changes(p string, texts []string) []Finding {
	var findings []Finding
	for _, text := range texts {
		findings = append(findings, Finding{Level: Change, Place: p, Text: text})
	}
	return findings
}

func formatAccount(a track.RouteAccount) string {
	keys := make([]string, len(a.Keys))
	for i, key := range a.Keys {
		keys[i] = maskKey(key)
	}
	a.Keys = keys
	return formatEntry(a)
}

// diffAccounts compares keys as sets, because their order has no effect.
func diffAccounts(before, after track.RouteAccount) []string {
	var texts []string
	for i, key := range after.Keys {
		if !slices.Contains(before.Keys, key) {
			texts = append(texts, fmt.Sprintf("key %d (%q) added", i+1, maskKey(key)))
		}
	}
	for i, key := range before.Keys {
		if !slices.Contains(after.Keys, key) {
			texts = append(texts, fmt.Sprintf("key %d (%q) removed", i+1, maskKey(key)))
		}
	}
	before.Keys, after.Keys = nil, nil
	return append(texts, diffEntries(before, after)...)
}

func formatEntry[T any](entry T) string {
	return format(reflect.ValueOf(entry))
}

// diffEntries returns the old and new values of all fields that differ. It uses reflection, so that
// fields that are added to the configuration are compared without a change here.
func diffEntries[T any](before, after T) []string {
	return diff("", reflect.ValueOf(before), reflect.ValueOf(after))
}

func diff(path string, before, after reflect.Value) []string {
	if before.Kind() == reflect.Pointer && !before.IsNil() && !after.IsNil() {
		return diff(path, before.Elem(), after.Elem())
	}
	if before.Kind() == reflect.Struct {
		var texts []string
		for i := range before.NumField() {
			name := strings.TrimPrefix(path+"."+before.Type().Field(i).Name, ".")
			texts = append(texts, diff(name, before.Field(i), after.Field(i))...)
		}
		return texts
	}
	if b, a := format(before), format(after); b != a {
		return []string{path + ": " + b + " -> " + a}
	}
	return nil
}

// format returns a value on one line, with strings in quotes.
func format(v reflect.Value) string {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return "none"
		}
		return format(v.Elem())
	case reflect.Struct:
		fields := make([]string, v.NumField())
		for i := range fields {
			fields[i] = v.Type().Field(i).Name + ": " + format(v.Field(i))
		}
		return "{" + strings.Join(fields, ", ") + "}"
	case reflect.Slice:
		items := make([]string, v.Len())
		for i := range items {
			items[i] = format(v.Index(i))
		}
		return "[" + strings.Join(items, ", ") + "]"
	case reflect.String:
		return strconv.Quote(v.String())
	default:
		return fmt.Sprint(v.Interface())
	}
}
