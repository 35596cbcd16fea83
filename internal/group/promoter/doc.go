// Package promoter replaces the primary of a database group by failover or by planned switchover, and
// makes instances that follow a wrong upstream follow the primary.
//
// Each gateway of a group runs a Promoter. No leader is elected among them: a promotion is safe whichever
// gateway carries it out and wherever it stops, because the instances refuse lower terms. The rank delays
// only keep gateways from promoting at the same time.
//
// Three rules keep confirmed writes from being lost:
//
//   - A promoter owns a term once a majority has acknowledged its Fence calls for that term. A Fence call
//     whose answer is lost does not count, because another promoter may have fenced the same term.
//   - The promoted instance has the greatest last log entry among the fenced ones, as they reported it in
//     their answers to Fence.
//   - In each term, Promote is called once, on one instance. When its outcome is unknown, the next attempt
//     fences a higher term.
package promoter
