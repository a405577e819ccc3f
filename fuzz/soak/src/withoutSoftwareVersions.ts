/** Returns a text of events as if no software version had signed them. */
export function withoutSoftwareVersions(text: string): string {
    return text.replaceAll(/@v\d+$/gmu, "");
}
