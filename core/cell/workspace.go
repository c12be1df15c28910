package cell

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/share"
)

// Workspace is a customer whose callers submit jobs with its keys. The zero value is not
// valid.
type Workspace struct {
	spec WorkspaceSpec
}

// WorkspaceSpec is the input of NewWorkspace.
type WorkspaceSpec struct {
	// Name is unique in a document.
	Name model.WorkspaceID
	// Keys authenticate calls as those of the workspace. No other workspace of the
	// document has one of them.
	Keys []string
	// Terms are its quota and its weight.
	Terms share.Terms
}

// NewWorkspace returns a workspace. NewDocument validates it.
func NewWorkspace(spec WorkspaceSpec) Workspace { return Workspace{spec: spec} }

// Name returns the name of the workspace.
func (wo Workspace) Name() model.WorkspaceID { return wo.spec.Name }

// Keys returns the keys in the order of the document.
func (wo Workspace) Keys() []string { return slices.Clone(wo.spec.Keys) }

// Terms returns the quota and the weight of the workspace.
func (wo Workspace) Terms() share.Terms { return wo.spec.Terms }

// checkWorkspaces calls rejectIf for each field of the workspaces.
func checkWorkspaces(spec DocumentSpec, rejectIf func(bad bool, field, allowed string)) {
	names := map[model.WorkspaceID]bool{}
	owners := map[string]model.WorkspaceID{}
	for pos, wo := range spec.Workspaces {
		field := "workspaces." + strconv.Itoa(pos)
		name := wo.spec.Name
		rejectIf(name == "" || !utf8.ValidString(string(name)), field+".name", "a name in UTF-8")
		rejectIf(names[name], field+".name", "each name once")
		weight, quota := wo.spec.Terms.Weight(), wo.spec.Terms.Quota()
		rejectIf(!(weight >= 0 && weight <= math.MaxFloat64), field+".weight", "a finite number of 0 or more")
		rejectIf(!flow.ValidAmounts(quota), field+".quota", flow.AmountsAllowed)
		for i, key := range wo.spec.Keys {
			keyField := field + ".keys." + strconv.Itoa(i)
			rejectIf(!validKey(key), keyField, "a key in UTF-8 without control characters")
			owner, taken := owners[key]
			rejectIf(taken && owner != name, keyField, "each key in one workspace")
			owners[key] = name
		}
		names[name] = true
	}
}

// validKey reports whether a caller can send a key. A header cannot hold control characters.
func validKey(key string) bool {
	return key != "" && utf8.ValidString(key) && !strings.ContainsFunc(key, unicode.IsControl)
}

// keysOf returns the workspace of each key.
func keysOf(workspaces []Workspace) map[string]model.WorkspaceID {
	out := map[string]model.WorkspaceID{}
	for _, wo := range workspaces {
		for _, key := range wo.spec.Keys {
			out[key] = wo.spec.Name
		}
	}
	return out
}

// Workspaces returns the workspaces in the order of the document.
func (doc Document) Workspaces() []Workspace { return slices.Clone(doc.spec.Workspaces) }

// Keyed reports whether calls need a key, unless their queue is public.
func (doc Document) Keyed() bool { return doc.spec.Keyed }

// Authenticate returns the workspace of a call on a queue, "" if it has none, and false
// if the call must be rejected because its key is missing or unknown.
func (doc Document) Authenticate(qu Queue, key string) (model.WorkspaceID, bool) {
	switch {
	case !doc.spec.Keyed:
		return "", true
	case key == "":
		return "", qu.spec.Public
	}
	name, ok := doc.keys[key]
	return name, ok
}

// terms returns the terms of all workspaces.
func (doc Document) terms() map[model.WorkspaceID]share.Terms {
	out := map[model.WorkspaceID]share.Terms{}
	for _, wo := range doc.spec.Workspaces {
		out[wo.spec.Name] = wo.spec.Terms
	}
	return out
}
