// Package parser splits SQL text into statements and classifies them.
//
// It has a scanner but no grammar. The scanner recognizes comments, string
// literals, dollar quotes and quoted identifiers, which is enough to find the
// ends of statements and the keywords in them. A forwarded statement is
// classified as a read only if its first keyword is known to read and no
// keyword in it changes data or locks rows. In doubt it is a write, because a
// write that is sent to a replica fails, whereas a read that is sent to the
// primary only adds load there.
//
// The package also recognizes the statements that the listener answers itself,
// and those that would leave state behind on a backend connection. The latter
// are refused, because clients share backend connections.
package parser
