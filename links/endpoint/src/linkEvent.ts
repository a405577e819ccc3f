/**
 * Event that changes the state of a link. `lost` is used at the dialing end, which opens another connection.
 * `lostByPeer` is used at the accepting end, which waits for the dialing end to reconnect.
 */
export type LinkEvent = "welcomed" | "beatMissed" | "beatAnswered" | "lost" | "lostByPeer" | "closed";
