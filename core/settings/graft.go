package settings

import (
	"strings"

	"doorstack.dev/core/strictyaml"
)

// addNodePart reads a node that is published apart and puts it in its place. Keys come
// in sorted order, so a parent is there before its children.
func addNodePart(document *Document, key string, data []byte) strictyaml.Problems {
	path, found := strings.CutPrefix(key, NodePartPrefix)
	if !found || path == "" {
		return strictyaml.Problems{{
			File:    key,
			Path:    key,
			Message: "the key is not one of a settings part",
			Remedy:  "use " + MainPartKey + " or " + NodePartPrefix + "NAME/NAME",
		}}
	}
	node := &Node{}
	problems := strictyaml.Decode(data, node).InFile(key)
	if document.Tree == nil {
		return problems // The check reports the missing tree.
	}
	parent := document.Tree
	names := strings.Split(path, "/")
	last := len(names) - 1
	for _, name := range names[:last] {
		child := parent.Children[name]
		if child == nil {
			problems = append(problems, strictyaml.Problem{
				File:    key,
				Path:    path,
				Message: "the node above it, " + name + ", does not exist",
				Remedy:  "publish that node too, or correct the key",
			})
			return problems
		}
		parent = child
	}
	if parent.Children[names[last]] != nil {
		return append(problems, strictyaml.Problem{
			File:    key,
			Path:    path,
			Message: "the node is also written in the part above",
			Remedy:  "remove one of the two",
		})
	}
	if parent.Children == nil {
		parent.Children = map[string]*Node{}
	}
	parent.Children[names[last]] = node
	return problems
}
