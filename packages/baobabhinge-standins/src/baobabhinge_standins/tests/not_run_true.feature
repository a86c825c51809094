Feature: A call that was said not to run did not run, and never does

  Scenario Outline: The owner is paused, and goes on long after its caller was told
    Given a confirmation with a key
    When <failure> comes first
    And it is sent through the entry
    Then the caller is told not-run
    When everything is healed
    Then it has run never, also after the owner was sent it again

    Examples:
      | failure                                         |
      | freeze owner                                    |
      | mute owner to witness                           |
      | cut owner to witness                            |
      | cut entry to owner                              |
      | refuse west-ledger-1 + refuse west-ledger-2     |
      | kill witness                                    |
      | freeze owner + store down                       |

  Scenario Outline: Closing an unused key
    Given a confirmation with a key
    When <failure> comes first
    And it is closed through the <gateway>
    Then the asker is told not-run
    When everything is healed
    Then it has run never, also after the owner was sent it again

    Examples:
      | failure       | gateway |
      | no failure    | owner   |
      | no failure    | entry   |
      | freeze owner  | entry   |
      | freeze owner  | witness |

  Scenario Outline: Asking about an unused key changes nothing
    Given a confirmation with a key
    When <failure> comes first
    And the <gateway> is asked what became of it
    Then the asker is told unknown
    When everything is healed
    And it is sent through the entry
    Then the caller is told answered
    And it has run once

    Examples:
      | failure       | gateway |
      | no failure    | owner   |
      | no failure    | entry   |
      | freeze owner  | entry   |

  Scenario: A key is good for one request
    Given a confirmation with a key
    When the bodies a, b and c are sent through every gateway at once
    Then one of them has run, and the callers of the others were told so

  Scenario: The caller goes away while it runs
    Given a confirmation with a key
    When the caller goes away while it runs
    Then the owner tells the next caller the answer, and it has run once

  Scenario: The caller goes away while it runs, and its owner stops
    Given a confirmation with a key
    When the caller goes away while it runs
    And stop owner comes next
    Then every gateway that is left tells the answer, and it has run once

  Scenario: The HTTP library would send a PUT again
    Given a confirmation with a key
    When reply lost comes first
    And it is sent through the owner with PUT
    Then the caller is told unknown
    And it has run once

  Scenario: A call without any key is refused
    Given a confirmation without a key
    When it is sent through the entry
    Then the caller is told not-run
    And it has run never

  Scenario Outline: A gateway is paused at a step, and the caller goes to another
    Given a confirmation with a key
    When it is sent, and <paused> is paused <step>
    And meanwhile it is <done> through the <other>
    Then that caller is told <told>
    When everything is healed
    And it is sent once more through every gateway
    Then it has run <runs>, and whoever was told so was told the truth

    Examples:
      | paused  | step                                     | done   | other   | told     | runs  |
      | witness | before it reads the intent               | sent   | away    | not-run  | never |
      | witness | after it recorded the intent             | sent   | owner   | not-run  | never |
      | witness | while the owner runs it, which is killed | sent   | entry   | unknown  | once  |
      | entry   | before it reads the call                 | closed | witness | not-run  | never |
      | entry   | before it reads the call                 | sent   | witness | answered | once  |
      | entry   | after it passed it on to a paused owner  | sent   | witness | not-run  | never |
      | entry   | while the owner runs it                  | sent   | witness | answered | once  |
