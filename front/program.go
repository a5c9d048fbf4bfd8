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

// Headers that describe a call and its program. A chat request may give the same
// values, except that of HeaderKey, in its metadata, under the keys in
// metadataKeys.
const (
	HeaderProgram     = "Rhubarbsaddle-Program"
	HeaderParent      = "Rhubarbsaddle-Parent"
	HeaderProgramKind = "Rhubarbsaddle-Program-Kind"
	HeaderSeq         = "Rhubarbsaddle-Seq"
	HeaderBudget      = "Rhubarbsaddle-Budget"
	HeaderHistory     = "Rhubarbsaddle-History"
	HeaderKey         = "Idempotency-Key"
)

// historyReset is the value of HeaderHistory for a request whose conversation
// need not extend the recorded one.
const historyReset = "reset"

// historyAppend is the value of HeaderHistory for a request that contains only
// the messages that follow the stored conversation.
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
	// standalonePrefix is the prefix of the ids of programs that consist of one
	// standalone call.
	standalonePrefix = "call."
)

// Limits on a program id, which consists of names separated by slashes.
const (
	maxNameBytes = 128
	maxNames     = 16
)

// programName matches one of the names of a program id.
var programName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// isValidProgramID reports whether id is a valid program id.
func isValidProgramID(id string) bool {
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

// programParams are the values of the program headers of a request.
type programParams struct {
	program       string
	kind          string
	seq           uint64
	budget        uint64
	resetsHistory bool
	// appendsHistory is set if the request contains only the messages that follow
	// the stored conversation.
	appendsHistory bool
	key            string
}

// readProgramParams reads each parameter from its header, or from the metadata if
// the header is absent.
func readProgramParams(h http.Header, metadata map[string]string) (*programParams, *APIError) {
	get := func(name string) string {
		if v := h.Get(name); v != "" {
			return v
		}
		return metadata[metadataKeys[name]]
	}
	p := &programParams{program: get(HeaderProgram), kind: get(HeaderProgramKind), key: h.Get(HeaderKey)}
	if parent := get(HeaderParent); parent != "" && p.program != "" {
		p.program = parent + "/" + p.program
	}
	if p.program != "" && !isValidProgramID(p.program) {
		return nil, apiErrorf("read headers", reasonInvalid, "%s: %q is no program id", HeaderProgram, p.program)
	}
	if len(p.key) > maxKeyBytes {
		return nil, apiErrorf("read headers", reasonInvalid, "%s is longer than %d bytes", HeaderKey, maxKeyBytes)
	}
	var apiErr *APIError
	if p.seq, apiErr = readNumber(HeaderSeq, get(HeaderSeq)); apiErr != nil {
		return nil, apiErr
	}
	if p.budget, apiErr = readNumber(HeaderBudget, get(HeaderBudget)); apiErr != nil {
		return nil, apiErr
	}
	switch v := get(HeaderHistory); v {
	case "":
	case historyReset:
		p.resetsHistory = true
	case historyAppend:
		p.appendsHistory = true
	default:
		return nil, apiErrorf("read headers", reasonInvalid, "%s: %q is neither %q nor %q",
			HeaderHistory, v, historyReset, historyAppend)
	}
	if p.appendsHistory && (p.program == "" || p.key == "" && p.seq == 0) {
		return nil, apiErrorf("read headers", reasonInvalid, "%s: %q needs %s, and %s or %s, so that a repeated request is known",
			HeaderHistory, historyAppend, HeaderProgram, HeaderKey, HeaderSeq)
	}
	return p, nil
}

func readNumber(name, value string) (uint64, *APIError) {
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		return 0, apiErrorf("read headers", reasonInvalid, "%s: %q is no number", name, value)
	}
	return n, nil
}

// programID returns the program id, prefixed with the account so that programs
// of different accounts never collide. A request without a program id gets a
// program of its own.
func (p *programParams) programID(account *config.Account) core.ProgramID {
	name := p.program
	if name == "" {
		name = standalonePrefix + p.standaloneName()
	}
	return core.ProgramID(account.Name + ":" + name)
}

// standaloneName returns the name of the program of a standalone call. The same
// idempotency key yields the same name, so that a retry finds the program. The
// name is a digest, because the key may contain characters that a program id must
// not have. Without a key the name is random.
func (p *programParams) standaloneName() string {
	if p.key == "" {
		return uuid.NewString()
	}
	digest := sha256.Sum256([]byte(p.key))
	return hex.EncodeToString(digest[:16])
}

// kindFor returns the program kind of a call to a pool. If the request names no
// kind, it is the account's first kind that may use the pool.
func (p *programParams) kindFor(set *config.Set, account *config.Account, pool string) (string, *APIError) {
	if p.kind == "" {
		for _, name := range account.Programs {
			if kind := set.ProgramKind(name); kind != nil && slices.Contains(kind.Pools, pool) {
				return name, nil
			}
		}
		return "", apiErrorf("choose pool", reasonForbidden, "no program of account %s may use pool %s", account.Name, pool)
	}
	kind := set.ProgramKind(p.kind)
	switch {
	case kind == nil || !slices.Contains(account.Programs, p.kind):
		return "", apiErrorf("choose pool", reasonForbidden, "account %s has no program kind %q", account.Name, p.kind)
	case !slices.Contains(kind.Pools, pool):
		return "", apiErrorf("choose pool", reasonForbidden, "program kind %s may not use pool %s", p.kind, pool)
	}
	return p.kind, nil
}
