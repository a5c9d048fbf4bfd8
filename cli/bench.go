package cli

import "github.com/urfave/cli/v3"

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure the scheduler and check its invariants",
		Commands: []*cli.Command{
			benchSoakCommand(),
			benchRecoveryCommand(),
			benchPolicyCommand(),
			benchPathCommand(),
			benchSlopesCommand(),
			benchAblationCommand(),
			benchPlacementCommand(),
		},
	}
}
