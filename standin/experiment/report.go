package experiment

import (
	"fmt"
	"io"
	"math"
)

// printRun writes one line of a run, and one for each kind of refusal or failure.
func printRun(w io.Writer, r Run) {
	fmt.Fprintf(w, "%s seed=%d fault=%v system=%s requests=%d attainment=%.4f per_accelerator=%.5f moves=%d models=%d adapters=%d",
		r.Deployment, r.Seed, r.Fault, r.System, r.Result.Total(), r.Result.Attainment(), r.PerAccelerator(), r.Moves(), r.Models, r.Adapters)
	for _, p := range []float64{50, 95, 99} {
		fmt.Fprintf(w, " first_token_p%g=%dms between_tokens_p%g=%dms", p, r.Result.FirstToken(p).Milliseconds(), p, r.Result.BetweenTokens(p).Milliseconds())
	}
	for _, o := range r.Result.Outcomes() {
		fmt.Fprintf(w, " %s=%d", o, r.Result.Count(o))
	}
	if r.Overcommit {
		fmt.Fprint(w, " OVERCOMMITTED")
	}
	fmt.Fprintln(w)
}

// printComparison writes, for each seed, the product's attainment over that of the
// best baseline, and its moves over that baseline's.
func printComparison(w io.Writer, runs []Run) {
	for _, group := range bySeed(runs) {
		product, best := group[0], bestBaseline(group)
		if product.System != Systems[0].Name || best == nil {
			continue
		}
		gain := product.Result.Attainment()/max(best.Result.Attainment(), leastAttainment) - 1
		verdict := "ahead"
		if gain < 0 {
			verdict = "LOST"
		}
		fmt.Fprintf(w, "compare %s seed=%d fault=%v best_baseline=%s gain=%+.1f%% moves=%d against %d: %s\n",
			product.Deployment, product.Seed, product.Fault, best.System, 100*gain, product.Moves(), best.Moves(), verdict)
	}
}

const leastAttainment = 1e-9 // in place of 0, to divide by

// bySeed groups runs that had the same seed and fault, the product first.
func bySeed(runs []Run) [][]Run {
	type key struct {
		seed  uint64
		fault bool
	}
	at := make(map[key]int)
	var groups [][]Run
	for _, r := range runs {
		k := key{r.Seed, r.Fault}
		if _, ok := at[k]; !ok {
			at[k] = len(groups)
			groups = append(groups, nil)
		}
		groups[at[k]] = append(groups[at[k]], r)
	}
	return groups
}

func bestBaseline(group []Run) *Run {
	var best *Run
	top := math.Inf(-1)
	for i := range group[1:] {
		r := &group[i+1]
		if a := r.Result.Attainment(); a > top {
			best, top = r, a
		}
	}
	return best
}
