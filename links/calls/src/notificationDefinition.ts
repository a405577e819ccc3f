/** A typed one-way message. It may be lost with its link. */
export interface NotificationDefinition<Message> {
    /** Name on the wire, such as `configuration.delta`. */
    readonly name: string;
    /** Carries the type; never set. */
    readonly types?: { message: Message; };
}
