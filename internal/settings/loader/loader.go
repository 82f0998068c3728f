package loader

import (
	"encoding"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"

	"siskinfall/internal/fault/wrapper"
)

// Problem is one mistake in a settings file.
type Problem struct {
	// Line is 0 where the mistake has no line.
	Line int    `json:"line"`
	Text string `json:"text"`
}

// InvalidError lists every mistake of a settings file.
type InvalidError struct {
	// Problems is sorted by line and not empty.
	Problems []Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("line %d: %s", p.Line, p.Text))
	}
	return strings.Join(lines, "\n")
}

// IsInvalid reports whether err lists mistakes of a settings file.
func IsInvalid(err error) bool {
	var e *InvalidError
	return errors.As(err, &e)
}

// Load reads and checks the file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, wrapper.At("read_settings", "", err)
	}
	return Parse(data)
}

// Parse decodes data over the defaults and checks the result. The InvalidError it
// returns lists all mistakes.
func Parse(data []byte) (*Settings, error) {
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		return nil, &InvalidError{Problems: []Problem{{Text: err.Error()}}}
	}
	s := NewSettings()
	problems := decode(&root, reflect.ValueOf(s).Elem(), "")
	problems = append(problems, checkValues(s, &root)...)
	if len(problems) == 0 {
		return s, nil
	}
	sort.SliceStable(problems, func(i, j int) bool { return problems[i].Line < problems[j].Line })
	return nil, &InvalidError{Problems: problems}
}

// decode sets v from n field by field, so that one mistake does not hide others.
func decode(n *yaml.Node, v reflect.Value, path string) []Problem {
	switch {
	case n.Kind == 0:
		return nil
	case n.Kind == yaml.DocumentNode:
		return decode(n.Content[0], v, path)
	case v.Kind() == reflect.Struct && !isTextUnmarshaler(v):
		return decodeStruct(n, v, path)
	case v.Kind() == reflect.Slice && n.Kind == yaml.SequenceNode:
		return decodeSlice(n, v, path)
	}
	if err := n.Decode(v.Addr().Interface()); err != nil {
		return []Problem{{Line: n.Line, Text: fmt.Sprintf("%s: %q is not valid: %s", path, n.Value, trimDecoderPrefix(err))}}
	}
	return nil
}

// isTextUnmarshaler reports whether a value decodes itself from text, as an address
// does.
func isTextUnmarshaler(v reflect.Value) bool {
	_, ok := v.Addr().Interface().(encoding.TextUnmarshaler)
	return ok
}

func decodeStruct(n *yaml.Node, v reflect.Value, path string) []Problem {
	if n.Kind != yaml.MappingNode {
		return []Problem{{Line: n.Line, Text: path + ": must be a mapping"}}
	}
	var problems []Problem
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		name := strings.TrimPrefix(path+"."+key.Value, ".")
		field, ok := findField(v, key.Value)
		if !ok {
			problems = append(problems, Problem{Line: key.Line, Text: name + ": unknown key"})
			continue
		}
		problems = append(problems, decode(n.Content[i+1], field, name)...)
	}
	return problems
}

func findField(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("yaml") == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func decodeSlice(n *yaml.Node, v reflect.Value, path string) []Problem {
	list := reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content))
	problems := make([]Problem, 0, len(n.Content))
	for i, item := range n.Content {
		problems = append(problems, decode(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
	}
	v.Set(list)
	return problems
}

// trimDecoderPrefix returns the text of a decoder error without its prefix and line
// number.
func trimDecoderPrefix(err error) string {
	var typeErr *yaml.TypeError
	if errors.As(err, &typeErr) && len(typeErr.Errors) > 0 {
		_, text, found := strings.Cut(fmt.Sprint(typeErr.Errors[0]), ": ")
		if found {
			return text
		}
	}
	return err.Error()
}

func checkValues(s *Settings, root *yaml.Node) []Problem {
	v := validator.New()
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("yaml") })
	err := v.Struct(s)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return nil
	}
	problems := make([]Problem, 0, len(fields))
	for _, f := range fields {
		_, path, _ := strings.Cut(f.Namespace(), ".")
		problems = append(problems, Problem{
			Line: findLine(root, strings.Split(path, ".")),
			Text: fmt.Sprintf("%s: %v breaks rule %s", path, f.Value(), ruleText(f)),
		})
	}
	return problems
}

func ruleText(f validator.FieldError) string {
	if f.Param() == "" {
		return f.Tag()
	}
	return f.Tag() + "=" + f.Param()
}

// findLine returns the line of the key at path, or of its nearest parent in the file.
func findLine(n *yaml.Node, path []string) int {
	if n.Kind == yaml.DocumentNode && len(n.Content) > 0 {
		n = n.Content[0]
	}
	if len(path) == 0 || n.Kind != yaml.MappingNode {
		return n.Line
	}
	name, _, _ := strings.Cut(path[0], "[")
	for i := 0; i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == name {
			return max(n.Content[i].Line, findLine(n.Content[i+1], path[1:]))
		}
	}
	return n.Line
}

// WriteDefaults writes a settings file with the defaults and a comment on each key.
func WriteDefaults(w io.Writer) error {
	var node yaml.Node
	if err := node.Encode(NewSettings()); err != nil {
		return wrapper.At("encode_settings", "", err)
	}
	addComments(&node, reflect.TypeFor[Settings]())
	enc := yaml.NewEncoder(w)
	enc.SetIndent(2)
	return wrapper.At("write_settings", "", enc.Encode(&node))
}

func addComments(n *yaml.Node, t reflect.Type) {
	if n.Kind != yaml.MappingNode || t.Kind() != reflect.Struct {
		return
	}
	for i := range t.NumField() {
		f := t.Field(i)
		for j := 0; j+1 < len(n.Content); j += 2 {
			if n.Content[j].Value != f.Tag.Get("yaml") {
				continue
			}
			n.Content[j].HeadComment = f.Tag.Get("comment")
			addComments(n.Content[j+1], f.Type)
		}
	}
}
