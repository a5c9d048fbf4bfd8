package cli

import (
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/adapter/etcdjson"
	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/config/publish"
)

// defaultStorePrefix is the prefix of a deployment's keys if --prefix is not given.
const defaultStorePrefix = "rhubarbsaddle/"

// storeTimeout bounds one request to the key-value service.
const storeTimeout = 5 * time.Second

// storeFlags returns the flags of the commands that use the key-value service.
func storeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:     "store",
			Usage:    "address of the key-value service, IP:PORT; may be repeated",
			Sources:  cli.EnvVars("RHUBARBSADDLE_STORE"),
			Required: true,
		},
		&cli.StringFlag{
			Name:    "prefix",
			Usage:   "prefix of the deployment's keys",
			Sources: cli.EnvVars("RHUBARBSADDLE_PREFIX"),
			Value:   defaultStorePrefix,
		},
	}
}

// openStore returns a client of the key-value service that the flags name.
func openStore(cmd *cli.Command) (publish.Store, error) {
	client, err := etcdjson.New(etcdjson.Options{
		Endpoints: cmd.StringSlice("store"),
		Prefix:    cmd.String("prefix"),
		Timeout:   storeTimeout,
	})
	if err != nil {
		return nil, &UsageError{Err: err}
	}
	return publish.NewStore(client), nil
}

// operatorName returns the name that the history of the configuration records for
// this operator.
func operatorName(cmd *cli.Command) string {
	if by := cmd.String("by"); by != "" {
		return by
	}
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "unknown"
}

// setAndStore returns the set in the directory that the argument names, and a client
// of the key-value service.
func setAndStore(cmd *cli.Command) (*config.Set, publish.Store, error) {
	dir, err := oneArgument(cmd, "DIR")
	if err != nil {
		return nil, nil, err
	}
	set, err := loadSet(dir)
	if err != nil {
		return nil, nil, err
	}
	store, err := openStore(cmd)
	return set, store, err
}
