// Package strictyaml decodes YAML into typed structs and reports every problem
// at once, each with line, column and remedy. Unknown keys are errors that name
// the nearest known key. It is used for the settings tree and for the daemon's
// own file, so both are checked the same way.
package strictyaml

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agnivade/levenshtein"
	"go.yaml.in/yaml/v3"
)

// Duration is a time.Duration written in YAML as "1.5s" or "2m".
type Duration time.Duration

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).String() }

// Position is a place in a YAML file; both numbers count from one.
type Position struct {
	Line, Column int
}

// Source is embedded in a struct that wants to know where it was written.
type Source struct {
	// At is the place of the mapping itself.
	At Position `yaml:"-"`
	// keys are the places of its keys, in file order.
	keys []keyPosition
}

type keyPosition struct {
	name string
	at   Position
}

// Key is the place where a key was written, or of the mapping if it was not.
func (s *Source) KeyPosition(name string) Position {
	for _, k := range s.keys {
		if k.name == name {
			return k.at
		}
	}
	return s.At
}

// Problem is one thing wrong in a file.
type Problem struct {
	Position
	// File names the file or part, where there are several.
	File string
	// Path is the place in the tree, such as "tree.children.desks".
	Path string
	// Message states the cause.
	Message string
	// Remedy says what to write instead.
	Remedy string
}

// String formats the problem for a terminal, with line and column first.
func (p Problem) String() string {
	place := fmt.Sprintf("line %d, column %d", p.Line, p.Column)
	if p.File != "" {
		place = p.File + ": " + place
	}
	return fmt.Sprintf("%s: %s: %s; %s", place, p.Path, p.Message, p.Remedy)
}

// Problems is an error made of all that is wrong in a file.
type Problems []Problem

// Error implements error.
func (ps Problems) Error() string {
	lines := make([]string, 0, len(ps))
	for _, p := range ps {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem.
func (ps *Problems) Add(at Position, path, message, remedy string) {
	*ps = append(*ps, Problem{Position: at, Path: path, Message: message, Remedy: remedy})
}

// InFile names the file that the problems are in.
func (ps Problems) InFile(name string) Problems {
	for i := range ps {
		ps[i].File = name
	}
	return ps
}

// Sort orders the problems by their place in the file.
func (ps Problems) Sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// maxDepth bounds nesting, so that a hostile file cannot exhaust the stack.
const maxDepth = 64

// Decode reads YAML into the struct that into points to. It returns every
// problem found; into holds what could be read all the same.
func Decode(data []byte, into any) Problems {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return Problems{syntaxProblem(err)}
	}
	d := decoder{}
	if len(document.Content) == 0 {
		d.problems.Add(Position{1, 1}, "file", "the file is empty", "write at least one key")
		return d.problems
	}
	d.decodeValue(document.Content[0], reflect.ValueOf(into).Elem(), "", 0)
	d.problems.Sort()
	return d.problems
}

// syntaxProblem turns the library's "yaml: line 3: ..." into a Problem.
func syntaxProblem(err error) Problem {
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	at := Position{Line: 1, Column: 1}
	if rest, found := strings.CutPrefix(text, "line "); found {
		number, message, _ := strings.Cut(rest, ": ")
		if n, convErr := strconv.Atoi(number); convErr == nil {
			at.Line = n
			text = message
		}
	}
	return Problem{Position: at, Path: "file", Message: text, Remedy: "correct the YAML syntax"}
}

type decoder struct {
	problems Problems
}

func (d *decoder) addProblem(n *yaml.Node, path, message, remedy string) {
	d.problems.Add(Position{n.Line, n.Column}, path, message, remedy)
}

func (d *decoder) decodeValue(n *yaml.Node, v reflect.Value, path string, depth int) {
	if depth > maxDepth {
		d.addProblem(n, path, "nested too deeply", fmt.Sprintf("use at most %d levels", maxDepth))
		return
	}
	if n.Kind == yaml.AliasNode {
		d.addProblem(n, path, "aliases are not supported", "write the value out, or set it on a common parent")
		return
	}
	if v.Type() == reflect.TypeFor[Duration]() {
		d.decodeDuration(n, v, path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		d.decodeValue(n, v.Elem(), path, depth+1)
	case reflect.Struct:
		d.decodeStruct(n, v, path, depth)
	case reflect.Map:
		d.decodeMap(n, v, path, depth)
	case reflect.Slice:
		d.decodeSlice(n, v, path, depth)
	default:
		d.decodeScalar(n, v, path)
	}
}

func (d *decoder) decodeStruct(n *yaml.Node, v reflect.Value, path string, depth int) {
	if n.Kind != yaml.MappingNode {
		d.addProblem(n, path, "expected a mapping", "write keys and values, such as \"name: value\"")
		return
	}
	known := fieldIndexes(v.Type())
	source := sourceField(v)
	if source != nil {
		source.At = Position{n.Line, n.Column}
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, val := n.Content[i], n.Content[i+1]
		sub := joinPath(path, key.Value)
		if seen[key.Value] {
			d.addProblem(key, sub, "the key is written twice", "remove one of them")
			continue
		}
		seen[key.Value] = true
		index, ok := known[key.Value]
		if !ok {
			d.addProblem(key, sub, fmt.Sprintf("unknown key %q", key.Value), unknownKeyRemedy(key.Value, known))
			continue
		}
		if source != nil {
			source.keys = append(source.keys, keyPosition{key.Value, Position{key.Line, key.Column}})
		}
		d.decodeValue(val, v.FieldByIndex(index), sub, depth+1)
	}
}

func (d *decoder) decodeMap(n *yaml.Node, v reflect.Value, path string, depth int) {
	if n.Kind != yaml.MappingNode {
		d.addProblem(n, path, "expected a mapping", "write keys and values, such as \"name: value\"")
		return
	}
	v.Set(reflect.MakeMapWithSize(v.Type(), len(n.Content)/2))
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, val := n.Content[i], n.Content[i+1]
		sub := joinPath(path, key.Value)
		name := reflect.ValueOf(key.Value).Convert(v.Type().Key())
		if v.MapIndex(name).IsValid() {
			d.addProblem(key, sub, "the key is written twice", "remove one of them")
			continue
		}
		elem := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(val, elem, sub, depth+1)
		v.SetMapIndex(name, elem)
	}
}

func (d *decoder) decodeSlice(n *yaml.Node, v reflect.Value, path string, depth int) {
	if n.Kind != yaml.SequenceNode {
		d.addProblem(n, path, "expected a list", "write one item a line, each after \"- \"")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(n.Content), len(n.Content)))
	for i, item := range n.Content {
		d.decodeValue(item, v.Index(i), fmt.Sprintf("%s[%d]", path, i), depth+1)
	}
}

func (d *decoder) decodeDuration(n *yaml.Node, v reflect.Value, path string) {
	parsed, err := time.ParseDuration(n.Value)
	if n.Kind != yaml.ScalarNode || err != nil {
		d.addProblem(n, path, fmt.Sprintf("%q is not a duration", n.Value), "write a number with a unit, such as 500ms, 30s or 10m")
		return
	}
	v.SetInt(int64(parsed))
}

func (d *decoder) decodeScalar(n *yaml.Node, v reflect.Value, path string) {
	if n.Kind != yaml.ScalarNode {
		d.addProblem(n, path, "expected a single value", "write the value on the same line as the key")
		return
	}
	if err := n.Decode(v.Addr().Interface()); err != nil || n.Tag == "!!null" {
		d.addProblem(n, path, fmt.Sprintf("%q is not a valid %s", n.Value, v.Kind()), "write a value of that type")
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// fieldIndexes lists the YAML keys of a struct type, through embedded structs.
func fieldIndexes(t reflect.Type) map[string][]int {
	fields := map[string][]int{}
	for _, f := range reflect.VisibleFields(t) {
		tag := f.Tag.Get("yaml")
		if !f.IsExported() || f.Anonymous || tag == "" || tag == "-" {
			continue
		}
		fields[tag] = f.Index
	}
	return fields
}

func sourceField(v reflect.Value) *Source {
	f := v.FieldByName("Source")
	if !f.IsValid() || f.Type() != reflect.TypeFor[Source]() {
		return nil
	}
	return f.Addr().Interface().(*Source)
}

// unknownKeyRemedy builds the remedy for an unknown key.
func unknownKeyRemedy(key string, known map[string][]int) string {
	names := make([]string, 0, len(known))
	for name := range known {
		names = append(names, name)
	}
	slices.Sort(names)
	best, bestDistance := "", len(key)/2+1
	for _, name := range names {
		if distance := levenshtein.ComputeDistance(key, name); distance <= bestDistance {
			if best == "" || distance < bestDistance {
				best, bestDistance = name, distance
			}
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "known keys here: " + strings.Join(names, ", ")
}
