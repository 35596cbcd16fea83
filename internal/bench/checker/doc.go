// Package checker compares the history of a load with the rows that the
// databases hold in the end, and counts what must never happen.
//
// It knows nothing of the system: a history and final rows go in, counts come
// out. The load keeps three sorts of rows so that each fault shows: entries,
// which are only inserted; names, which hold the number of the latest
// correction by their only author; and counters, which only rise by one.
package checker
