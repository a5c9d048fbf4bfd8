package front

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/rhubarbsaddle/rhubarbsaddle/config"
	"github.com/rhubarbsaddle/rhubarbsaddle/core"
)

// Headers by which a caller names the program of a call. A chat request may
// give the same values in its metadata, under the names of metadataKeys.
const (
	HeaderProgram     = "Rhubarbsaddle-Program"
	HeaderParent      = "Rhubarbsaddle-Parent"
	HeaderProgramKind = "Rhubarbsaddle-Program-Kind"
	HeaderSeq         = "Rhubarbsaddle-Seq"
	HeaderBudget      = "Rhubarbsaddle-Budget"
	HeaderHistory     = "Rhubarbsaddle-History"
	HeaderKey         = "Idempotency-Key"
)

// historyReset is the value of HeaderHistory that accepts a conversation that
// does not extend the recorded one.
const historyReset = "reset"

// historyAppend is the value of HeaderHistory by which a request brings only the
// messages that follow the kept conversation.
const historyAppend = "append"

var metadataKeys = map[string]string{
	HeaderProgram:     "rhubarbsaddle_program",
	HeaderParent:      "rhubarbsaddle_parent",
	HeaderProgramKind: "rhubarbsaddle_program_kind",
	HeaderSeq:         "rhubarbsaddle_seq",
	HeaderBudget:      "rhubarbsaddle_budget",
	HeaderHistory:     "rhubarbsaddle_history",
}

const (
	maxKeyBytes = 255
	// lonePrefix begins the ids of programs that consist of one call.
	lonePrefix = "call."
)

// Bounds of a program id: names parted by slashes.
const (
	maxNameBytes = 128
	maxNames     = 16
)

// programName matches one name of a program id.
var programName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// validProgram reports whether id is a program id.
func validProgram(id string) bool {
	names := strings.Split(id, "/")
	if len(names) > maxNames {
		return false
	}
	for _, name := range names {
		if len(name) > maxNameBytes || !programName.MatchString(name) {
			return false
		}
	}
	return true
}

// claim is what a request says about its program.
type claim struct {
	program string
	kind    string
	seq     uint64
	budget  uint64
	reset   bool
	// appends says that the conversation kept precedes the messages.
	appends bool
	key     string
}

// readClaim reads the headers, and metadata where a header is absent.
func readClaim(h http.Header, metadata map[string]string) (*claim, *APIError) {
	get := func(name string) string {
		if v := h.Get(name); v != "" {
			return v
		}
		return metadata[metadataKeys[name]]
	}
	c := &claim{program: get(HeaderProgram), kind: get(HeaderProgramKind), key: h.Get(HeaderKey)}
	if parent := get(HeaderParent); parent != "" && c.program != "" {
		c.program = parent + "/" + c.program
	}
	if c.program != "" && !validProgram(c.program) {
		return nil, refusef("read headers", reasonInvalid, "%s: %q is no program id", HeaderProgram, c.program)
	}
	if len(c.key) > maxKeyBytes {
		return nil, refusef("read headers", reasonInvalid, "%s is longer than %d bytes", HeaderKey, maxKeyBytes)
	}
	var refusal *APIError
	if c.seq, refusal = readNumber(HeaderSeq, get(HeaderSeq)); refusal != nil {
		return nil, refusal
	}
	if c.budget, refusal = readNumber(HeaderBudget, get(HeaderBudget)); refusal != nil {
		return nil, refusal
	}
	switch v := get(HeaderHistory); v {
	case "":
	case historyReset:
		c.reset = true
	case historyAppend:
		c.appends = true
	default:
		return nil, refusef("read headers", reasonInvalid, "%s: %q is neither %q nor %q",
			HeaderHistory, v, historyReset, historyAppend)
	}
	if c.appends && (c.program == "" || c.key == "" && c.seq == 0) {
		return nil, refusef("read headers", reasonInvalid, "%s: %q needs %s, and %s or %s, so that a repeated request is known",
			HeaderHistory, historyAppend, HeaderProgram, HeaderKey, HeaderSeq)
	}
	return c, nil
}

func readNumber(name, value string) (uint64, *APIError) {
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return 0, refusef("read headers", reasonInvalid, "%s: %q is no number", name, value)
	}
	return n, nil
}

// scope returns the program id within its account, so that the programs of two
// accounts never meet. Without an id the call makes up a program of its own.
func (c *claim) scope(account *config.Account) core.ProgramID {
	name := c.program
	if name == "" {
		name = lonePrefix + c.loneName()
	}
	return core.ProgramID(account.Name + ":" + name)
}

// loneName names the program of a lone call: the same for the same key, so that
// a retry finds it, and without the key's own characters, which may not stand in
// a program id.
func (c *claim) loneName() string {
	if c.key == "" {
		return uuid.NewString()
	}
	digest := sha256.Sum256([]byte(c.key))
	return hex.EncodeToString(digest[:16])
}

// kindFor returns the program kind of a call to a pool. A request that names no
// kind gets the account's first kind that may use the pool.
func (c *claim) kindFor(set *config.Set, account *config.Account, pool string) (string, *APIError) {
	if c.kind == "" {
		for _, name := range account.Programs {
			if kind := set.ProgramKind(name); kind != nil && slices.Contains(kind.Pools, pool) {
				return name, nil
			}
		}
		return "", refusef("choose pool", reasonForbidden, "no program of account %s may use pool %s", account.Name, pool)
	}
	kind := set.ProgramKind(c.kind)
	switch {
	case kind == nil || !slices.Contains(account.Programs, c.kind):
		return "", refusef("choose pool", reasonForbidden, "account %s has no program kind %q", account.Name, c.kind)
	case !slices.Contains(kind.Pools, pool):
		return "", refusef("choose pool", reasonForbidden, "program kind %s may not use pool %s", c.kind, pool)
	}
	return c.kind, nil
}
