// Package strictyaml decodes YAML into structs and reports all problems at once,
// each with line, column and remedy. Unknown keys are errors that name the most
// similar known key. It decodes both the settings tree and the daemon's own
// configuration file, so that both are validated in the same way.
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

// Position is a position in a YAML file; line and column count from one.
type Position struct {
	Line, Column int
}

// Source is embedded in a struct to record the positions of its mapping and keys.
type Source struct {
	// At is the position of the mapping.
	At Position `yaml:"-"`
	// keys are the positions of the keys of the mapping, in file order.
	keys []keyPosition
}

type keyPosition struct {
	name string
	at   Position
}

// KeyPosition returns the position of a key, or of the mapping if the key is absent.
func (s *Source) KeyPosition(name string) Position {
	for _, k := range s.keys {
		if k.name == name {
			return k.at
		}
	}
	return s.At
}

// Problem is one error in a file.
type Problem struct {
	Position
	// File names the file or part, if there are several.
	File string
	// Path is the path of the key in the document, such as "tree.children.desks".
	Path string
	// Message states the cause.
	Message string
	// Remedy says how to correct it.
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

// Problems is an error that lists all problems of a file.
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

// InFile sets the file name of all problems and returns them.
func (ps Problems) InFile(name string) Problems {
	for i := range ps {
		ps[i].File = name
	}
	return ps
}

// Sort orders the problems by file and position.
func (ps Problems) Sort() {
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// maxDepth bounds the nesting depth, so that a malicious file cannot exhaust the stack.
const maxDepth = 64

// Decode decodes YAML into the struct that into points to. It returns every problem
// found; even then, into holds the values that could be decoded.
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

// syntaxProblem converts the YAML library's "yaml: line 3: ..." into a Problem.
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
		d.addProblem(n, path, "aliases are not supported", "repeat the value, or set it on a common parent")
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
			d.addProblem(key, sub, "duplicate key", "remove one of them")
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
			d.addProblem(key, sub, "duplicate key", "remove one of them")
			continue
		}
		elem := reflect.New(v.Type().Elem()).Elem()
		d.decodeValue(val, elem, sub, depth+1)
		v.SetMapIndex(name, elem)
	}
}

func (d *decoder) decodeSlice(n *yaml.Node, v reflect.Value, path string, depth int) {
	if n.Kind != yaml.SequenceNode {
		d.addProblem(n, path, "expected a list", "write one item per line, each after \"- \"")
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

// fieldIndexes maps the YAML keys of a struct type, including those of embedded structs,
// to field indexes.
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

// unknownKeyRemedy suggests the most similar known key, or lists all known keys.
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
