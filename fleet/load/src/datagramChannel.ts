import type { HostPort } from "@knapweedwood/fleet.view/hostPort";

/** Sends and receives datagrams. They may be lost or arrive out of order. */
export interface DatagramChannel {
    /** Starts to receive. Rejects if the address can't be bound. */
    open(onMessage: (bytes: Buffer) => void): Promise<void>;
    send(bytes: Buffer, target: HostPort): void;
    close(): void;
}
