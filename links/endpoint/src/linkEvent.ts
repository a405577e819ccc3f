/**
 * What changes the state of a link: `lost` where this end opens another connection, `lostByPeer` where it waits for the
 * other end to do so.
 */
export type LinkEvent = "welcomed" | "beatMissed" | "beatAnswered" | "lost" | "lostByPeer" | "closed";
