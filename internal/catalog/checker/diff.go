package checker

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"siskinfall/internal/catalog/holder"
)

// Change is a difference of one thing between two catalogs.
type Change struct {
	Thing string `json:"thing"`
	// Text is "added", "removed" or what has changed.
	Text string `json:"text"`
}

// String implements fmt.Stringer.
func (c Change) String() string { return c.Thing + ": " + c.Text }

// Diff returns what newer changes, thing by thing. Keys of client accounts are not shown.
func Diff(older, newer *holder.Catalog) ([]Change, error) {
	before, err := listThings(older)
	if err != nil {
		return nil, err
	}
	after, err := listThings(newer)
	if err != nil {
		return nil, err
	}
	var out []Change
	for _, thing := range slices.Sorted(maps.Keys(before)) {
		if after[thing] == nil {
			out = append(out, Change{thing, "removed"})
		}
	}
	for _, thing := range slices.Sorted(maps.Keys(after)) {
		if before[thing] == nil {
			out = append(out, Change{thing, "added"})
			continue
		}
		for _, text := range diffFields("", before[thing], after[thing]) {
			out = append(out, Change{thing, text})
		}
	}
	slices.SortStableFunc(out, func(a, b Change) int { return cmp.Compare(a.Thing, b.Thing) })
	return out, nil
}

// listThings returns the fields of each thing of a catalog.
func listThings(c *holder.Catalog) (map[string]map[string]any, error) {
	things := map[string]any{"limits": c.Limits}
	for _, r := range c.Routes {
		things["route "+r.Name] = r
	}
	for _, s := range c.Services {
		things["service "+s.Name] = s
	}
	for _, a := range c.Accounts {
		things["client account "+a.Name] = a
	}
	out := make(map[string]map[string]any, len(things))
	for name, thing := range things {
		data, err := json.Marshal(thing)
		if err != nil {
			return nil, err
		}
		fields := make(map[string]any)
		if err := json.Unmarshal(data, &fields); err != nil {
			return nil, err
		}
		out[name] = fields
	}
	return out, nil
}

// diffFields returns the fields that differ, those of inner objects with the path to them.
func diffFields(path string, before, after map[string]any) []string {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var out []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		b, a := before[name], after[name]
		if reflect.DeepEqual(b, a) {
			continue
		}
		innerB, isObjectB := b.(map[string]any)
		innerA, isObjectA := a.(map[string]any)
		switch {
		case isObjectB && isObjectA:
			out = append(out, diffFields(path+name+".", innerB, innerA)...)
		case name == "keys":
			out = append(out, "keys changed")
		default:
			out = append(out, fmt.Sprintf("%s%s from %v to %v", path, name, show(name, b), show(name, a)))
		}
	}
	return out
}

// durations are the fields with a time in nanoseconds.
var durations = []string{"timeout", "objective", "gap", "patience", "pass", "per_request", "per_context", "header_timeout", "idle_timeout"}

// show returns a field as a duration or as JSON, "none" for no value.
func show(name string, v any) string {
	if v == nil {
		return "none"
	}
	if ns, ok := v.(float64); ok && slices.Contains(durations, name) {
		return time.Duration(ns).String()
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}
