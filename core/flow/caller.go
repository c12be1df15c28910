package flow

import "guavarail/core/model"

// Caller is who submits, reads or cancels jobs. The zero value stands for a cell in which
// nobody owns jobs: it may do so with all of them.
type Caller struct {
	workspace model.WorkspaceID
	// restricted is set if the caller has no access to the jobs of other workspaces.
	restricted bool
}

// NewCaller returns a caller who has no access to the jobs of other workspaces. The
// workspace is "" for a caller without one.
func NewCaller(workspace model.WorkspaceID) Caller {
	return Caller{workspace: workspace, restricted: true}
}

// Workspace returns the workspace of the caller, "" for none.
func (ca Caller) Workspace() model.WorkspaceID { return ca.workspace }

// Restricted reports whether the caller has no access to the jobs of other workspaces.
func (ca Caller) Restricted() bool { return ca.restricted }

// MayAccess reports whether the caller has access to the jobs of a workspace. Everyone has
// access to jobs without a workspace: some were accepted before calls needed keys, and their
// submitters have keys now.
func (ca Caller) MayAccess(owner model.WorkspaceID) bool {
	return !ca.restricted || owner == "" || owner == ca.workspace
}

// Owner returns the workspace of a job, "" for none, and false if the state has no such job.
func (st *State) Owner(id model.JobID) (model.WorkspaceID, bool) {
	jb, ok := st.jobs[id]
	if !ok {
		return "", false
	}
	return jb.spec.Workspace, true
}
