package settings

import (
	"strings"

	"doorstack.dev/core/strictyaml"
)

// addNodePart decodes a node that is published as its own part and adds it to the tree.
// Parts are processed in key order, so a parent is added before its children.
func addNodePart(document *Document, key string, data []byte) strictyaml.Problems {
	path, found := strings.CutPrefix(key, NodePartPrefix)
	if !found || path == "" {
		return strictyaml.Problems{{
			File:    key,
			Path:    key,
			Message: "the key is not a valid key of a settings part",
			Remedy:  "use " + MainPartKey + " or " + NodePartPrefix + "NAME/NAME",
		}}
	}
	node := &Node{}
	problems := strictyaml.Decode(data, node).InFile(key)
	if document.Tree == nil {
		return problems // The checker reports the missing tree.
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
				Message: "the parent node " + name + " does not exist",
				Remedy:  "publish the parent node too, or correct the key",
			})
			return problems
		}
		parent = child
	}
	if parent.Children[names[last]] != nil {
		return append(problems, strictyaml.Problem{
			File:    key,
			Path:    path,
			Message: "the node is already defined in the part of an ancestor",
			Remedy:  "remove one of the definitions",
		})
	}
	if parent.Children == nil {
		parent.Children = map[string]*Node{}
	}
	parent.Children[names[last]] = node
	return problems
}
