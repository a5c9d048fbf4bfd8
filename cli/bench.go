package cli

import "github.com/urfave/cli/v3"

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "measure and prove the scheduler in virtual time",
		Commands: []*cli.Command{
			benchSoakCommand(),
			benchRecoveryCommand(),
			benchPolicyCommand(),
			benchPathCommand(),
			benchSlopesCommand(),
		},
	}
}
