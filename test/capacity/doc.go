// Package capacity measures what a VM spends on control and on statements. It
// runs real VM processes at several sizes and fits slopes, from which
// docs/CAPACITY.md works out the load at the target. The measurement takes
// minutes and runs with -measure only.
package capacity
