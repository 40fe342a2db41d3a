package org.jackdawsaddle.config;

/** An object that others refer to by its name. */
public sealed interface NamedObject
        permits ServiceObject, TargetObject, JobKind, LimitObject, TeamObject {

    /** Returns the name, unique among the objects of the same type. */
    String name();
}
