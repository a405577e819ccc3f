import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";

/** Child processes that handle the calls of the benchmark. */
export class ServerProcesses {
    private readonly children: ChildProcess[] = [];

    /** Starts `count` processes. @returns the ports that they listen on, shape [count] */
    async start(count: number): Promise<number[]> {
        return Promise.all(Array.from({ length: count }, () => this.startOne()));
    }

    stop(): void {
        this.children.forEach(child => child.kill());
    }

    private async startOne(): Promise<number> {
        const child = fork(new URL("./serverProcess.js", import.meta.url));
        this.children.push(child);
        const [address] = await once(child, "message") as [string];
        return Number(address.split(":").at(-1));
    }
}
