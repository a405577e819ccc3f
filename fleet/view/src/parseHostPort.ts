import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { HostPort } from "./hostPort.js";

const MAX_PORT = 65_535;

/** Parses `host:port`. Throws `ADDRESS_INVALID` if the host is empty or the port is not in 1 to 65535. */
export function parseHostPort(text: string): HostPort {
    const separator = text.lastIndexOf(":");
    const port = Number(text.slice(separator + 1));
    if (separator <= 0 || !Number.isInteger(port) || port <= 0 || port > MAX_PORT) {
        throw new KnapweedError("ADDRESS_INVALID", `${JSON.stringify(text)} is not an address of the form host:port`);
    }
    return { host: text.slice(0, separator), port };
}
