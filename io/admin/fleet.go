package admin

import (
	"context"
	"net/http"

	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/io/rest"
)

// fleetAPI answers calls on presets, data centres and VMs.
type fleetAPI struct {
	por Ports
}

func (fa *fleetAPI) routes(mux *Mux) {
	Handle(mux, "GET "+rest.PathPresets, fa.listPresets)
	Handle(mux, "POST "+rest.PathPresets, fa.createPreset)
	Handle(mux, "GET "+rest.PathPresets+"/{name}", fa.showPreset)
	Handle(mux, "POST "+rest.PathPresets+"/{name}/switch", fa.switchPreset)
	Handle(mux, "GET "+rest.PathCentres, fa.listCentres)
	Handle(mux, "POST "+rest.PathCentres+"/{name}/out", fa.centreOut)
	Handle(mux, "POST "+rest.PathCentres+"/{name}/in", fa.centreIn)
	Handle(mux, "GET "+rest.PathVMs, fa.listVMs)
	Handle(mux, "POST "+rest.PathVMs, fa.addVM)
	Handle(mux, "POST "+rest.PathVMs+"/{name}/replace", fa.replaceVM)
	Handle(mux, "POST "+rest.PathVMs+"/{name}/promote", fa.promoteVM)
	Handle(mux, "POST "+rest.PathVMs+"/{name}/remove", fa.removeVM)
}

// propose submits an operator command to the fleet group, waits until it is applied
// and returns the resulting change of the configuration.
func (fa *fleetAPI) propose(ctx context.Context, cmd fleet.Command) (rest.CommandAccepted, error) {
	res, err := fa.por.Fleet.Propose(ctx, cmd)
	if err != nil {
		return rest.CommandAccepted{}, err
	}
	if err := res.Err(); err != nil {
		return rest.CommandAccepted{}, err
	}
	cha, _ := res.Change()
	return rest.NewCommandAccepted(cha), nil
}

func (fa *fleetAPI) listPresets(ctx context.Context, _ *http.Request, _ Empty) (rest.PresetList, error) {
	return readFleet(ctx, fa.por.Fleet, func(sta *fleet.State) rest.PresetList {
		out := rest.PresetList{InEffect: InEffect(sta)}
		for _, en := range sta.Presets() {
			out.Presets = append(out.Presets, rest.NewPreset(en, sta.ActivePresetName()))
		}
		return out
	})
}

func (fa *fleetAPI) showPreset(ctx context.Context, req *http.Request, _ Empty) (rest.Preset, error) {
	name := req.PathValue("name")
	out, err := readFleet(ctx, fa.por.Fleet, func(sta *fleet.State) *rest.Preset {
		en, ok := sta.Preset(name)
		if !ok {
			return nil
		}
		pre := rest.NewPreset(en, sta.ActivePresetName())
		return &pre
	})
	switch {
	case err != nil:
		return rest.Preset{}, err
	case out == nil:
		return rest.Preset{}, &NotFoundError{kind: "preset", name: name}
	}
	return *out, nil
}

func (fa *fleetAPI) createPreset(ctx context.Context, _ *http.Request, body rest.PresetCreate) (rest.CommandAccepted, error) {
	pre, err := body.Preset.Model()
	if err != nil {
		return rest.CommandAccepted{}, err
	}
	return fa.propose(ctx, body.NewCommand(fleet.NewCreatePreset(pre, body.Replace)))
}

func (fa *fleetAPI) switchPreset(ctx context.Context, req *http.Request, body rest.PresetSwitch) (rest.CommandAccepted, error) {
	return fa.propose(ctx, body.NewCommand(fleet.NewSwitchPreset(req.PathValue("name"))))
}

func (fa *fleetAPI) centreOut(ctx context.Context, req *http.Request, body rest.CentreCommand) (rest.CommandAccepted, error) {
	return fa.propose(ctx, body.NewCommand(fleet.NewCentreOut(model.CentreID(req.PathValue("name")), body.Force)))
}

func (fa *fleetAPI) centreIn(ctx context.Context, req *http.Request, body rest.CentreCommand) (rest.CommandAccepted, error) {
	return fa.propose(ctx, body.NewCommand(fleet.NewCentreIn(model.CentreID(req.PathValue("name")))))
}

// listCentres reads the service state of each data centre from the newest fleet
// state, so that an operator sees the effect of a command that just returned. The
// other fields are from the status of the answering VM, which may be older.
func (fa *fleetAPI) listCentres(ctx context.Context, _ *http.Request, _ Empty) (rest.CentreList, error) {
	out, err := readFleet(ctx, fa.por.Fleet, func(sta *fleet.State) rest.CentreList {
		lis := rest.CentreList{InEffect: InEffect(sta)}
		for _, cen := range sta.Centres() {
			row := rest.Centre{Name: string(cen.Name()), Service: rest.ServiceIn, By: rest.NewChange(cen.ChangedBy())}
			if cen.Out() {
				row.Service = rest.ServiceOut
			}
			lis.Centres = append(lis.Centres, row)
		}
		return lis
	})
	if err != nil {
		return out, err
	}
	sta, err := fa.por.Local.Status(ctx)
	for i := range out.Centres {
		fillCentre(&out.Centres[i], sta.Centres)
	}
	return out, err
}

// fillCentre completes row with the status of the same data centre in statuses,
// those of the answering VM. The service state in row comes from the newest fleet
// state and takes precedence. If row has the data centre in service and the status
// still has it out of service, it is returning to service.
func fillCentre(row *rest.Centre, statuses []rest.Centre) {
	for _, cen := range statuses {
		if cen.Name != row.Name {
			continue
		}
		service, by := row.Service, row.By
		*row = cen
		row.By = by
		switch {
		case service == rest.ServiceOut:
			row.Service, row.AdmitPercent = rest.ServiceOut, 0
		case row.Service == rest.ServiceOut:
			row.Service = rest.ServiceReturning
		}
	}
}

func (fa *fleetAPI) listVMs(ctx context.Context, _ *http.Request, _ Empty) (rest.VMList, error) {
	sta, err := fa.por.Local.Status(ctx)
	return rest.VMList{InEffect: sta.InEffect, VMs: sta.VMs}, err
}

func (fa *fleetAPI) addVM(ctx context.Context, _ *http.Request, body rest.VMCommand) (rest.CommandAccepted, error) {
	return fa.propose(ctx, body.NewCommand(fleet.NewAddLearner(body.VM.Fleet())))
}

func (fa *fleetAPI) replaceVM(ctx context.Context, req *http.Request, body rest.VMCommand) (rest.CommandAccepted, error) {
	return fa.propose(ctx, body.NewCommand(fleet.NewReplaceVM(model.VMID(req.PathValue("name")), body.VM.Fleet())))
}

func (fa *fleetAPI) promoteVM(ctx context.Context, req *http.Request, body rest.VMChange) (rest.CommandAccepted, error) {
	return fa.propose(ctx, body.NewCommand(fleet.NewPromote(model.VMID(req.PathValue("name")), body.DiskID)))
}

func (fa *fleetAPI) removeVM(ctx context.Context, req *http.Request, body rest.VMChange) (rest.CommandAccepted, error) {
	return fa.propose(ctx, body.NewCommand(fleet.NewRemoveVM(model.VMID(req.PathValue("name")))))
}

// InEffect returns the number of the configuration in effect and the name of its
// active preset.
func InEffect(sta *fleet.State) rest.InEffect {
	return rest.InEffect{Number: sta.Number(), Preset: sta.ActivePresetName()}
}
