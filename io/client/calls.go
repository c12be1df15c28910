package client

import (
	"context"
	"net/url"

	"guavarail/io/rest"
)

// Presets returns all presets.
func (cl *Client) Presets(ctx context.Context) (rest.PresetList, error) {
	return get[rest.PresetList](ctx, cl, rest.PathPresets)
}

// Preset returns one preset.
func (cl *Client) Preset(ctx context.Context, name string) (rest.Preset, error) {
	return get[rest.Preset](ctx, cl, rest.PathPresets+"/"+url.PathEscape(name))
}

// CreatePreset adds a preset, or overwrites an inactive one if body.Replace is set.
func (cl *Client) CreatePreset(ctx context.Context, body rest.PresetCreate) (rest.CommandAccepted, error) {
	return post[rest.CommandAccepted](ctx, cl, rest.PathPresets, body)
}

// SwitchPreset makes a preset the active one.
func (cl *Client) SwitchPreset(ctx context.Context, name string, body rest.PresetSwitch) (rest.CommandAccepted, error) {
	return post[rest.CommandAccepted](ctx, cl, rest.PathPresets+"/"+url.PathEscape(name)+"/switch", body)
}

// Centres returns all data centres.
func (cl *Client) Centres(ctx context.Context) (rest.CentreList, error) {
	return get[rest.CentreList](ctx, cl, rest.PathCentres)
}

// CentreOut takes a data centre out of service.
func (cl *Client) CentreOut(ctx context.Context, name string, body rest.CentreCommand) (rest.CommandAccepted, error) {
	return post[rest.CommandAccepted](ctx, cl, rest.PathCentres+"/"+url.PathEscape(name)+"/out", body)
}

// CentreIn brings a data centre back into service.
func (cl *Client) CentreIn(ctx context.Context, name string, body rest.CentreCommand) (rest.CommandAccepted, error) {
	return post[rest.CommandAccepted](ctx, cl, rest.PathCentres+"/"+url.PathEscape(name)+"/in", body)
}

// DefaultCentre returns the data centre in which a job runs by default: that of the
// first VM that answers.
func (cl *Client) DefaultCentre(ctx context.Context) (string, error) {
	sta, err := cl.Status(ctx)
	return sta.Centre, err
}

// SubmitJob submits a job. A job of the same name is only recognised within one data
// centre. A job without a data centre therefore gets DefaultCentre before it is
// sent: a resend to a VM of another data centre would otherwise run the job there as
// well.
func (cl *Client) SubmitJob(ctx context.Context, body rest.JobSubmit) (rest.JobAccepted, error) {
	if body.Centre == "" {
		var err error
		if body.Centre, err = cl.DefaultCentre(ctx); err != nil {
			return rest.JobAccepted{}, err
		}
	}
	return post[rest.JobAccepted](ctx, cl, rest.PathJobs, body)
}

// Jobs returns all jobs without their tasks.
func (cl *Client) Jobs(ctx context.Context) (rest.JobList, error) {
	return get[rest.JobList](ctx, cl, rest.PathJobs)
}

// Job returns one job with its tasks.
func (cl *Client) Job(ctx context.Context, id string) (rest.Job, error) {
	return get[rest.Job](ctx, cl, rest.PathJobs+"/"+url.PathEscape(id))
}

// CancelJob cancels a job. It has no effect on a job that has ended.
func (cl *Client) CancelJob(ctx context.Context, id string) (rest.JobCancelled, error) {
	return post[rest.JobCancelled](ctx, cl, rest.PathJobs+"/"+url.PathEscape(id)+"/cancel", struct{}{})
}

// Workers returns all workers.
func (cl *Client) Workers(ctx context.Context) (rest.WorkerList, error) {
	return get[rest.WorkerList](ctx, cl, rest.PathWorkers)
}

// VMs returns all VMs.
func (cl *Client) VMs(ctx context.Context) (rest.VMList, error) {
	return get[rest.VMList](ctx, cl, rest.PathVMs)
}

// ReplaceVM removes the VM with the given name and adds the one in body as a learner.
func (cl *Client) ReplaceVM(ctx context.Context, name string, body rest.VMCommand) (rest.CommandAccepted, error) {
	return post[rest.CommandAccepted](ctx, cl, rest.PathVMs+"/"+url.PathEscape(name)+"/replace", body)
}

// Status returns the state of the system as the answering VM sees it.
func (cl *Client) Status(ctx context.Context) (rest.Status, error) {
	return get[rest.Status](ctx, cl, rest.PathStatus)
}

// Events returns a page of the events that the answering VM itself recorded.
func (cl *Client) Events(ctx context.Context, que rest.EventQuery) (rest.EventList, error) {
	return get[rest.EventList](ctx, cl, rest.PathEvents+"?"+que.Values().Encode())
}
