package settings

import (
	"fmt"
	"reflect"
	"time"

	"doorstack.dev/core/strictyaml"
)

// BuiltinDefaults returns the values that apply where no node sets one.
func BuiltinDefaults() Inherited {
	return Inherited{
		Priority:        new(defaultPriority),
		Deadline:        new(strictyaml.Duration(60 * time.Second)),
		MaxPromptTokens: new(int64(1_200_000)),
		MaxOutputTokens: new(int64(4096)),
		MaxWaiting:      new(1000),
		RetryShare:      new(0.1),
		Limits: Limits{
			RequestsPerSecond:     new(100.0),
			PromptTokensPerSecond: new(2_000_000.0),
			Concurrent:            new(1000),
		},
	}
}

// DefaultPolicy returns the policy of a pool that sets none.
func DefaultPolicy() Policy {
	return Policy{
		LongPromptTokens: 32_000,
		LongShare:        0.4,
		ShortRoom:        2,
		LongPerTarget:    1,
		MemoryHeadroom:   0.1,
		PrefixWeight:     1,
		RemotePenalty:    strictyaml.Duration(20 * time.Millisecond),
		AgeingPerLevel:   strictyaml.Duration(5 * time.Second),
		MaxBacklog:       strictyaml.Duration(2 * time.Second),
	}
}

// withDefaults returns p with its zero fields filled from DefaultPolicy.
func (p Policy) withDefaults() Policy {
	defaults := reflect.ValueOf(DefaultPolicy())
	v := reflect.ValueOf(&p).Elem()
	for i := range v.NumField() {
		if v.Type().Field(i).Tag.Get("yaml") == "" {
			continue
		}
		if v.Field(i).IsZero() {
			v.Field(i).Set(defaults.Field(i))
		}
	}
	return p
}

// inherit returns child with its nil fields filled from parent.
func inherit(child, parent Inherited) Inherited {
	inheritValue(reflect.ValueOf(&child).Elem(), reflect.ValueOf(parent))
	return child
}

func inheritValue(child, parent reflect.Value) {
	for i := range child.NumField() {
		field := child.Field(i)
		if field.Kind() == reflect.Struct {
			inheritValue(field, parent.Field(i))
			continue
		}
		if field.IsNil() {
			field.Set(parent.Field(i))
		}
	}
}

// EffectiveValue is a value that applies to a node, and the node that sets it.
type EffectiveValue struct {
	// Name is the YAML key, such as "limits.concurrent".
	Name string `json:"name"`
	// Value is the value that applies, formatted as in YAML.
	Value string `json:"value"`
	// Origin is the path of the node that sets it, or "built-in".
	Origin string `json:"origin"`
}

// originBuiltin is the origin of a value that no node sets.
const originBuiltin = "built-in"

// effectiveValues lists the values that apply to the last node of chain, which
// starts at the root; paths holds the path of each node in chain.
func effectiveValues(chain []*Node, paths []string) []EffectiveValue {
	values := map[string]*EffectiveValue{}
	var order []string
	visit := func(origin string) func(name string, v reflect.Value) {
		return func(name string, v reflect.Value) {
			if v.IsNil() {
				return
			}
			if values[name] == nil {
				values[name] = &EffectiveValue{Name: name}
				order = append(order, name)
			}
			values[name].Value = fmt.Sprint(v.Elem().Interface())
			values[name].Origin = origin
		}
	}
	walkInherited(reflect.ValueOf(BuiltinDefaults()), "", visit(originBuiltin))
	for i, n := range chain {
		walkInherited(reflect.ValueOf(n.Inherited), "", visit(paths[i]))
	}
	list := make([]EffectiveValue, 0, len(order))
	for _, name := range order {
		list = append(list, *values[name])
	}
	return list
}

func walkInherited(v reflect.Value, prefix string, visit func(string, reflect.Value)) {
	for i := range v.NumField() {
		name := prefix + v.Type().Field(i).Tag.Get("yaml")
		if v.Field(i).Kind() == reflect.Struct {
			walkInherited(v.Field(i), name+".", visit)
			continue
		}
		visit(name, v.Field(i))
	}
}
