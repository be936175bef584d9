package cli

import "github.com/rattanway/rattanway/request/ops"

// drainTarget holds the arguments that name the data centre or backend server
// to drain or return.
type drainTarget struct {
	Kind string `arg:"" enum:"datacentre,backendserver" help:"datacentre or backendserver."`
	Name string `arg:"" help:"Name of the data centre or backend server."`
}

// DrainCmd takes a data centre out of service or marks a backend server as
// leaving.
type DrainCmd struct {
	operatorFlags
	changeMetadataFlags
	drainTarget
}

// Run implements the command.
func (c *DrainCmd) Run(s *streams) error {
	return drainOrReturn(s, c.operatorFlags, c.changeMetadataFlags, c.drainTarget, true)
}

// ReturnCmd undoes a drain.
type ReturnCmd struct {
	operatorFlags
	changeMetadataFlags
	drainTarget
}

// Run implements the command.
func (c *ReturnCmd) Run(s *streams) error {
	return drainOrReturn(s, c.operatorFlags, c.changeMetadataFlags, c.drainTarget, false)
}

// drainOrReturn drains the target, or returns it to service if drain is false.
func drainOrReturn(s *streams, operator operatorFlags, flags changeMetadataFlags, target drainTarget, drain bool) error {
	client, err := operator.client()
	if err != nil {
		return err
	}
	metadata := flags.changeMetadata()
	setDrained := client.SetBackendServerLeaving
	if target.Kind == "datacentre" {
		setDrained = client.SetDataCentreOut
	}
	var response ops.ChangeResponse
	response, err = setDrained(commandContext(), target.Name, drain, metadata)
	if err != nil {
		return changeError(retryFlags(metadata, nil), err)
	}
	return printChange(s, metadata, response)
}
