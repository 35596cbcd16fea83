package emulator

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/session/tokenizer"
)

// stateInsufficientPrivilege refuses the group's functions to ordinary users.
const stateInsufficientPrivilege = "42501"

// groupFunction is a function of control connections. It returns the rows of its answer.
type groupFunction struct {
	name string
	args int
	run  func(ctx context.Context, x *session, args []string) ([][]byte, error)
}

var groupFunctions = []groupFunction{
	{"group_status", 0, runStatus},
	{"group_fence", 1, runFence},
	{"group_promote", 1, runPromote},
	{"group_follow", 2, runFollow},
	{"group_pull", 3, runPull},
	{"stub_set", 2, runSet},
}

// classifyGroup recognises SELECT function(arguments).
func (s *statement) classifyGroup(tokens []token) bool {
	if len(tokens) < 4 || tokens[1].kind != tokenWord || !tokens[2].is("(") || !tokens[len(tokens)-1].is(")") {
		return false
	}
	name := strings.ToLower(tokens[1].text)
	for i, f := range groupFunctions {
		if f.name != name {
			continue
		}
		s.class, s.name, s.function = classGroup, name, &groupFunctions[i]
		for _, t := range tokens[3 : len(tokens)-1] {
			if !t.is(",") {
				s.arguments = append(s.arguments, strings.Trim(t.text, "'"))
			}
		}
		return true
	}
	return false
}

// executeGroup runs a function of a control connection.
func (x *session) executeGroup(ctx context.Context, p *portal) error {
	s := p.statement
	if !x.control {
		return refuse(stateInsufficientPrivilege, "%s is only for user %s", s.name, connector.ControlUser)
	}
	if len(s.arguments) != s.function.args {
		return refuse(stateUndefinedFunction, "%s takes %d arguments, not %d", s.name, s.function.args, len(s.arguments))
	}
	rows, err := s.function.run(ctx, x, s.arguments)
	if err != nil {
		return err
	}
	for _, r := range rows {
		x.backend.Send(&pgproto3.DataRow{Values: [][]byte{r}})
	}
	x.complete("SELECT " + strconv.Itoa(len(rows)))
	return nil
}

func runStatus(_ context.Context, x *session, _ []string) ([][]byte, error) {
	return x.answerStatus(x.server.group.status(), nil)
}

func runFence(_ context.Context, x *session, args []string) ([][]byte, error) {
	term, err := parseTerm(args[0])
	if err != nil {
		return nil, err
	}
	return x.answerStatus(x.server.group.fence(term))
}

func runPromote(ctx context.Context, x *session, args []string) ([][]byte, error) {
	term, err := parseTerm(args[0])
	if err != nil {
		return nil, err
	}
	return x.answerStatus(x.server.group.promote(ctx, term))
}

func runFollow(_ context.Context, x *session, args []string) ([][]byte, error) {
	term, err := parseTerm(args[0])
	if err != nil {
		return nil, err
	}
	return x.answerStatus(x.server.group.follow(term, args[1]))
}

func runPull(ctx context.Context, x *session, args []string) ([][]byte, error) {
	var n [3]uint64
	for i, a := range args {
		var err error
		if n[i], err = parseTerm(a); err != nil {
			return nil, err
		}
	}
	return x.server.group.servePull(ctx, n[0], tokenizer.Position{Term: n[1], Index: n[2]})
}

// runSet changes a delay at run time.
func runSet(_ context.Context, x *session, args []string) ([][]byte, error) {
	d, err := time.ParseDuration(args[1])
	if err != nil || d < 0 {
		return nil, refuse(stateInvalidText, "stub_set %s: invalid duration %q", args[0], args[1])
	}
	switch args[0] {
	case "applyDelay":
		x.server.SetApplyDelay(d)
	case "receiveDelay":
		x.server.SetReceiveDelay(d)
	case "openDelay":
		x.server.SetOpenDelay(d)
	default:
		return nil, refuse(stateInvalidText, "stub_set: unknown name %q", args[0])
	}
	return x.answerStatus(x.server.group.status(), nil)
}

func parseTerm(s string) (uint64, error) {
	n, err := strconv.ParseUint(s, 10, 63) // SQLite's integers have a sign
	if err != nil {
		return 0, refuse(stateInvalidText, "invalid number %q", s)
	}
	return n, nil
}

func (x *session) answerStatus(st connector.Status, err error) ([][]byte, error) {
	if err != nil {
		return nil, err
	}
	x.server.mu.Lock()
	st = x.server.withConnections(st)
	x.server.mu.Unlock()
	b, err := json.Marshal(st)
	return [][]byte{b}, err
}
