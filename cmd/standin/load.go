package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/balsamcove/balsamcove/pkg/client"
	"github.com/balsamcove/balsamcove/pkg/identifier"
	"github.com/balsamcove/balsamcove/pkg/refuser"
)

// outcome is what became of one request.
type outcome struct {
	ID         identifier.Request `json:"id"`
	Idempotent bool               `json:"idempotent"`
	Repeat     bool               `json:"repeat"`
	OK         bool               `json:"ok"`
	Whole      bool               `json:"whole"`
	Effect     refuser.Effect     `json:"effect,omitempty"`
	Code       refuser.Code       `json:"code,omitempty"`
	Took       time.Duration      `json:"took"`
}

type loadCommand struct {
	Service string        `arg:"" help:"Service to ask."`
	Callers []string      `required:"" help:"Addresses at which entry hosts serve callers." sep:","`
	Rate    int           `help:"Requests a second." default:"200"`
	For     time.Duration `help:"How long to send." default:"5s"`
	Name    string        `help:"Prefix of the request identities." default:"load"`
	Out     string        `required:"" help:"File for the outcomes."`
}

// repeatEvery is how often a non-idempotent request is sent again under the same
// identity through another entry host.
const repeatEvery = 10

// Run sends requests at a fixed rate, whether or not earlier ones have ended.
func (c *loadCommand) Run(ctx context.Context) error {
	clients, err := c.clients()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var group sync.WaitGroup
	var outcomes []outcome
	send := func(cl *client.Client, o outcome) {
		defer group.Done()
		o = sendOne(cl, c.Service, o)
		mu.Lock()
		outcomes = append(outcomes, o)
		mu.Unlock()
	}
	ticker := time.NewTicker(time.Second / time.Duration(c.Rate))
	defer ticker.Stop()
	total := int(c.For.Seconds() * float64(c.Rate))
	for i := 0; i < total && ctx.Err() == nil; i++ {
		<-ticker.C
		o := outcome{ID: identifier.Request(fmt.Sprintf("%s-%d", c.Name, i)), Idempotent: i%2 == 0}
		group.Add(1)
		go send(clients[i%len(clients)], o)
		if i%repeatEvery == 1 {
			o.Repeat = true
			group.Add(1)
			go send(clients[(i+1)%len(clients)], o)
		}
	}
	group.Wait()
	data, err := json.Marshal(outcomes)
	if err != nil {
		return errors.Wrap(err, "encode outcomes")
	}
	printLoad(c.Name, outcomes)
	return errors.Wrap(os.WriteFile(c.Out, data, 0o600), "write outcomes")
}

// clients returns a client for each entry host first; as a balancer does, each
// goes on to the next host when one cannot be reached.
func (c *loadCommand) clients() ([]*client.Client, error) {
	var out []*client.Client
	for i := range c.Callers {
		order := append(append([]string(nil), c.Callers[i:]...), c.Callers[:i]...)
		cl, err := client.New(order)
		if err != nil {
			return nil, err
		}
		out = append(out, cl)
	}
	return out, nil
}

func sendOne(cl *client.Client, service string, o outcome) outcome {
	began := time.Now()
	body := strings.Repeat("x", 64)
	a, err := cl.Request(context.Background(), client.Request{
		ID: o.ID, Service: identifier.Service(service), Idempotent: o.Idempotent, Body: []byte(body),
	})
	o.Took = time.Since(began)
	if err != nil {
		r := refuser.From(err)
		o.Effect, o.Code = r.Effect, r.Code
		return o
	}
	o.OK = true
	o.Whole = string(a.Body) == string(o.ID)+":"+body
	return o
}

func printLoad(name string, outcomes []outcome) {
	var took []time.Duration
	codes := map[string]int{}
	for _, o := range outcomes {
		if o.OK {
			took = append(took, o.Took)
			continue
		}
		codes[fmt.Sprintf("%s/%s", o.Code, o.Effect)]++
	}
	sort.Slice(took, func(i, j int) bool { return took[i] < took[j] })
	at := func(share float64) time.Duration {
		if len(took) == 0 {
			return 0
		}
		return took[int(share*float64(len(took)-1))].Round(time.Microsecond * 10)
	}
	fmt.Printf("%-10s sent %5d  answered %5d  p50 %8s  p99 %8s  refused %v\n", name, len(outcomes), len(took), at(.5), at(.99), codes)
}
