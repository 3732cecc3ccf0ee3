package main

// documentCommands are the commands that process files on the operator's machine.
type documentCommands struct {
	Key    keyGroup    `cmd:"" help:"Make approvers' keys and sets."`
	Bundle bundleGroup `cmd:"" help:"Make, check, sign and pack bundles."`
	Roll   rollGroup   `cmd:"" help:"Say on which instances a bundle comes into force."`
}

// instanceCommands are the commands that query running instances.
type instanceCommands struct {
	Fleet      fleetCmd      `cmd:"" help:"Show which bundle is in force on each instance, and alarms."`
	Watch      watchCmd      `cmd:"" help:"Show what each bundle version does, live."`
	Explain    explainCmd    `cmd:"" help:"Show why a request went where it did."`
	Limits     limitsCmd     `cmd:"" help:"Show the limits of workspaces, and what was granted and refused of them."`
	Queues     queuesCmd     `cmd:"" help:"Show the requests that wait for an engine, and what each instance knows of the others."`
	Quarantine quarantineCmd `cmd:"" help:"Show the requests that are kept from upstreams because they crash them."`
}

// keyGroup holds the subcommands of "key".
type keyGroup struct {
	New       keyNewCmd       `cmd:"" help:"Make an approver's key."`
	Public    keyPublicCmd    `cmd:"" help:"Print the public half of a key."`
	Approvers keyApproversCmd `cmd:"" help:"Make or print a set of approvers."`
}

// bundleGroup holds the subcommands of "bundle".
type bundleGroup struct {
	Lint   bundleLintCmd   `cmd:"" help:"Check bundle sources."`
	Diff   bundleDiffCmd   `cmd:"" help:"Show what changes between two bundles."`
	New    bundleNewCmd    `cmd:"" help:"Build the next version from a source."`
	Sign   bundleSignCmd   `cmd:"" help:"Sign a draft."`
	Verify bundleVerifyCmd `cmd:"" help:"Verify a draft or a packed bundle."`
	Pack   bundlePackCmd   `cmd:"" help:"Write the values to publish."`
}

// rollGroup holds the subcommands of "roll".
type rollGroup struct {
	New    rollNewCmd    `cmd:"" help:"Make the next roll."`
	Sign   rollSignCmd   `cmd:"" help:"Sign a roll."`
	Verify rollVerifyCmd `cmd:"" help:"Verify a roll."`
	Pack   rollPackCmd   `cmd:"" help:"Write the value to publish."`
}
