package main

import (
	"fmt"
	"strings"
	"time"
)

// smuggledItem is an item that no client writes in a message of its own.
const smuggledItem = "account-9"

// playSmuggle sends a write whose data contains a line feed and then the text of another message. With no trouble, a
// blank stands for the line feed. The rule is broken if an instance runs the inner text.
func playSmuggle(d *deployment, trouble bool) (bool, error) {
	c, err := dial(d.vms[0].frontAddress())
	if err != nil {
		return false, err
	}
	defer c.close()
	for n := range 5 {
		text := fmt.Sprintf("WRITE order-%d data%d", n, n)
		id := newID()
		answer, err := c.query(id, text)
		d.record.printf("sent     QUERY %s %s", id, text)
		d.record.printf("answered %q, error %v", answer, err)
		if err != nil {
			return false, err
		}
	}
	separator := " "
	if trouble {
		separator = "\n"
	}
	inner := "QUERY " + newID() + " WRITE " + smuggledItem + " smuggled"
	message := "QUERY " + newID() + " WRITE note-1 first line" + separator + inner + "\r\n"
	d.record.printf("sent     %q, one message: its only CR LF is at its end", message)
	if err := c.send(message); err != nil {
		return false, err
	}
	for {
		answer, err := c.readAnswer(time.Second)
		if err != nil {
			break
		}
		d.record.printf("answered %q", answer)
	}
	isRun := d.hasWrite(smuggledItem, "smuggled")
	d.record.printf("the instances' logs have the write of note-1: %v", d.hasWrite("note-1", strings.TrimSuffix("first line"+separator+inner, "\r\n")))
	d.record.printf("the instances' logs have the write of %s, which no client sent as a message: %v", smuggledItem, isRun)
	return isRun, nil
}
