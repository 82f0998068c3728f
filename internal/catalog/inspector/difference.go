package inspector

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"siskinfall/internal/catalog/holder"
)

// Difference is one entry that two versions of a configuration do not have in common.
type Difference struct {
	Section Section `json:"section"`
	Name    string  `json:"name,omitempty"`
	// Change is added, removed, changed or moved.
	Change string `json:"change"`
	// Fields holds the changed fields of an entry, in order of their names. Keys of client
	// accounts are counted, not shown.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is one field of an entry that has changed.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String implements fmt.Stringer.
func (d Difference) String() string {
	text := fmt.Sprintf("%s %s", d.Section, d.Change)
	if d.Name != "" {
		text = fmt.Sprintf("%s %s %s", d.Section, d.Name, d.Change)
	}
	for n, f := range d.Fields {
		separator := ", "
		if n == 0 {
			separator = ": "
		}
		text += fmt.Sprintf("%s%s %s -> %s", separator, f.Field, f.Before, f.After)
	}
	return text
}

// Compare returns what differs between the catalog in force and the next one, section by
// section and in order of names.
func Compare(inForce, next *holder.Catalog) []Difference {
	differences := compareEntries(Routes, inForce.Routes, next.Routes, func(r holder.Route) string { return r.Name })
	differences = append(differences, compareEntries(Services, inForce.Services, next.Services, func(s holder.Service) string { return s.Name })...)
	differences = append(differences, compareAccounts(inForce.Accounts, next.Accounts)...)
	if fields := compareFields(inForce.Limits, next.Limits); len(fields) > 0 {
		differences = append(differences, Difference{Section: Limits, Change: "changed", Fields: fields})
	}
	return differences
}

// CheckVersion returns a finding if the next catalog would be ignored because its version is
// not above the one in force.
func CheckVersion(inForce, next *holder.Catalog) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{
		Severity: Error, Code: "version_not_newer", Section: Whole,
		Text: fmt.Sprintf("version %d is not above %d, which is in force", next.Version, inForce.Version),
	}}
}

func compareEntries[T any](s Section, before, after []T, nameOf func(T) string) []Difference {
	old := make(map[string]T, len(before))
	for _, e := range before {
		old[nameOf(e)] = e
	}
	var out []Difference
	kept := make(map[string]bool, len(after))
	for _, e := range after {
		name := nameOf(e)
		kept[name] = true
		o, ok := old[name]
		if !ok {
			out = append(out, Difference{Section: s, Name: name, Change: "added"})
		} else if fields := compareFields(o, e); len(fields) > 0 {
			out = append(out, Difference{Section: s, Name: name, Change: "changed", Fields: fields})
		}
	}
	for name := range old {
		if !kept[name] {
			out = append(out, Difference{Section: s, Name: name, Change: "removed"})
		}
	}
	slices.SortStableFunc(out, func(a, b Difference) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// keylessAccount is an account without its secrets.
type keylessAccount struct {
	Name        string `json:"name"`
	Priority    *int   `json:"priority,omitempty"`
	KeysAdded   int    `json:"keys_added"`
	KeysRemoved int    `json:"keys_removed"`
}

func compareAccounts(before, after []holder.Account) []Difference {
	old := make(map[string]holder.Account)
	for _, a := range before {
		old[a.Name] = a
	}
	strip := func(list []holder.Account, count bool) []keylessAccount {
		out := make([]keylessAccount, 0, len(list))
		for _, a := range list {
			k := keylessAccount{Name: a.Name, Priority: a.Priority}
			if o, ok := old[a.Name]; ok && count {
				k.KeysAdded, k.KeysRemoved = countMissing(a.Keys, o.Keys), countMissing(o.Keys, a.Keys)
			}
			out = append(out, k)
		}
		return out
	}
	return compareEntries(Accounts, strip(before, false), strip(after, true), func(a keylessAccount) string { return a.Name })
}

// countMissing returns how many of the keys are not among the others.
func countMissing(keys, others []string) int {
	n := 0
	for _, k := range keys {
		if !slices.Contains(others, k) {
			n++
		}
	}
	return n
}

// compareFields returns the fields of two structs that differ, in order of their names.
func compareFields(before, after any) []FieldChange {
	old, cur := fieldsOf(before), fieldsOf(after)
	names := make([]string, 0, len(cur))
	for name := range cur {
		names = append(names, name)
	}
	for name := range old {
		if _, ok := cur[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var out []FieldChange
	for _, name := range names {
		if old[name] != cur[name] {
			out = append(out, FieldChange{Field: name, Before: cmp.Or(old[name], "none"), After: cmp.Or(cur[name], "none")})
		}
	}
	return out
}

// fieldsOf returns the exported fields of a struct by the names that its encoding has. Times
// are shown with their unit.
func fieldsOf(v any) map[string]string {
	out := make(map[string]string)
	value := reflect.ValueOf(v)
	for n := range value.NumField() {
		field := value.Type().Field(n)
		if !field.IsExported() {
			continue
		}
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		content := value.Field(n).Interface()
		if text, ok := content.(fmt.Stringer); ok {
			out[name] = text.String()
			continue
		}
		data, err := json.Marshal(content)
		if err != nil {
			data = []byte(err.Error())
		}
		out[name] = string(data)
	}
	return out
}
