package cli

import (
	"errors"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/rpc/tlsfile"
)

// errPartialTLS is the cause when only some of the TLS flags are given.
var errPartialTLS = errors.New("give --tls-cert, --tls-key and --tls-ca together")

// tlsFlags returns the flags for TLS connections to the operators' ports.
func tlsFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "tls-cert", Usage: "client certificate `FILE` for the operators' ports", Sources: cli.EnvVars("RHUBARBSADDLE_TLS_CERT")},
		&cli.StringFlag{Name: "tls-key", Usage: "key `FILE` of the certificate", Sources: cli.EnvVars("RHUBARBSADDLE_TLS_KEY")},
		&cli.StringFlag{Name: "tls-ca", Usage: "`FILE` of the CA that verifies the processes", Sources: cli.EnvVars("RHUBARBSADDLE_TLS_CA")},
	}
}

// operatorClient returns the HTTP client for operators' ports and the scheme of
// their URLs: http unless certificate files are given, else https.
func operatorClient(cmd *cli.Command) (*http.Client, string, error) {
	settings := config.TLS{Cert: cmd.String("tls-cert"), Key: cmd.String("tls-key"), CA: cmd.String("tls-ca")}
	if settings == (config.TLS{}) {
		return http.DefaultClient, "http", nil
	}
	if settings.Cert == "" || settings.Key == "" || settings.CA == "" {
		return nil, "", &UsageError{Err: errPartialTLS}
	}
	files, err := tlsfile.Load(settings)
	if err != nil {
		return nil, "", &UsageError{Err: err}
	}
	transport := &http.Transport{TLSClientConfig: files.Client(), ForceAttemptHTTP2: true}
	return &http.Client{Transport: transport}, "https", nil
}
